"""Slopes for docs/CAPACITY.md."""
