"""What lives as long as a request."""
