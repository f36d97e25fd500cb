"""Small stand-ins for the systems outside limpethollow, each a process of its own."""
