"""Tests of configuration, membership and platform outages by real processes."""
