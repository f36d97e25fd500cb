"""Cells of the fault matrix of bookings: connections cut."""

from pytest_bdd import scenarios

scenarios("connections_cut.feature")
