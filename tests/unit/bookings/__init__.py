"""Tests of the decisions on bookings."""
