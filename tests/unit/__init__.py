"""Tests of the decisions, without processes."""
