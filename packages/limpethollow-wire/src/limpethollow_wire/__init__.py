"""Messages, codecs, settings and errors that all limpethollow processes share."""
