"""Shutdowns, drains and connections of real processes."""
