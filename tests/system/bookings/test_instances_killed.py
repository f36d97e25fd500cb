"""Cells of the fault matrix of bookings: instances killed."""

from pytest_bdd import scenarios

scenarios("instances_killed.feature")
