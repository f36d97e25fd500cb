"""Cells of the fault matrix of bookings: searchers killed."""

from pytest_bdd import scenarios

scenarios("searchers_killed.feature")
