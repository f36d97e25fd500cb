"""What lives for one request."""
