"""Cells of the fault matrix of bookings: connections silent."""

from pytest_bdd import scenarios

scenarios("connections_silent.feature")
