"""Cells of the fault matrix of bookings: instances leaving."""

from pytest_bdd import scenarios

scenarios("instances_leaving.feature")
