"""Decisions on shutdowns, drains and connections."""
