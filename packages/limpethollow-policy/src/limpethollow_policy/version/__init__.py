"""Decisions that live for one version of the configuration."""
