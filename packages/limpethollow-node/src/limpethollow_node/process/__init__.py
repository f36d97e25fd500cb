"""Objects that exist for the lifetime of the process."""
