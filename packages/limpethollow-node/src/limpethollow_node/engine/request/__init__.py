"""Objects whose lifetime is that of a request."""
