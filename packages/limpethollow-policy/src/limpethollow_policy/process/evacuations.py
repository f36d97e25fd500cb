"""Failure domains whose searchers the operator wants to get no new calls."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Evacuation:
    """The operator's order to send nothing new to the searchers of a failure domain.

    It holds until it is removed. Calls that were sent before are not cut.

    Attributes:
        failure_domain: The failure domain.
    """

    failure_domain: str
