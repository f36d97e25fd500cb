"""Decisions that live for one request."""
