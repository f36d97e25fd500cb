"""A randomized soak of the platform path: real processes, faults from outside, promises checked."""
