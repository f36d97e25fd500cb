"""Messages, codecs, settings and exceptions shared by all limpethollow processes."""
