"""What lives as long as a connection."""
