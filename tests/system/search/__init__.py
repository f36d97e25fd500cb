"""Search over real processes, under faults."""
