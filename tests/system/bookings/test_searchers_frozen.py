"""Cells of the fault matrix of bookings: searchers frozen."""

from pytest_bdd import scenarios

scenarios("searchers_frozen.feature")
