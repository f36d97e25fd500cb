"""Tests of real processes."""
