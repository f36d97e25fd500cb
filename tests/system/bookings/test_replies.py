"""Cells of the fault matrix of bookings: replies."""

from pytest_bdd import scenarios

scenarios("replies.feature")
