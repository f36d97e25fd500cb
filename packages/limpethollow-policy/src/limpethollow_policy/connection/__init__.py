"""Decisions that live for one connection to a searcher."""
