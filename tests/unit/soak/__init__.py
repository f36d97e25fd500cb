"""The soak's own checks."""
