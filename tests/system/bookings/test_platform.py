"""Cells of the fault matrix of bookings: platform."""

from pytest_bdd import scenarios

scenarios("platform.feature")
