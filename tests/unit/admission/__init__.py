"""Tests of the admission policies."""
