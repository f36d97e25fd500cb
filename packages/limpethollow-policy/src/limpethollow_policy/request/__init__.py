"""Decision logic with the lifetime of one request."""
