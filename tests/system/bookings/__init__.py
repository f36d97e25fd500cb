"""Tests of bookings over real processes."""
