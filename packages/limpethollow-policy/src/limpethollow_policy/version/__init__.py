"""Decision logic with the lifetime of one configuration version."""
