"""Tests of admission with real processes."""
