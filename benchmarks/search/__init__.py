"""Search under load and faults: tail latency, coverage and extra calls, against the baseline."""
