"""Cells of the fault matrix of bookings: instances frozen."""

from pytest_bdd import scenarios

scenarios("instances_frozen.feature")
