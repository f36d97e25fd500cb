"""Failure domains that an operator has evacuated."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Evacuation:
    """An operator's order to send no new calls to the searchers of a failure domain.

    It applies until it is removed. Calls that were sent before are not cancelled.

    Attributes:
        failure_domain: The failure domain.
    """

    failure_domain: str
