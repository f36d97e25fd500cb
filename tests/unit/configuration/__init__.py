"""Tests of the decisions on configuration and membership."""
