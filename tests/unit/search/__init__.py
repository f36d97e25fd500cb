"""What search decides: snapshots, calls, sharing, hedges, answers."""
