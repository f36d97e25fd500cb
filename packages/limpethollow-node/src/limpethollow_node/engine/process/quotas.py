"""Applies the teams' quotas to callers' requests."""

from collections.abc import Callable

from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import Route
from limpethollow_wire.exceptions import LimpethollowError


class QuotaControl:
    """Takes one request of its team's quota for each request."""

    __slots__ = ()

    def acquire(
        self,
        permit: Permit,
        route: Route,
        on_granted: Callable[[], None],
        on_refused: Callable[[LimpethollowError], None],
    ) -> Callable[[], None] | None:
        """Take one request of the quota, and call one of the two functions, maybe at once.

        Args:
            permit: Permit of the request.
            route: Its route.
            on_granted: Called when the request may start.
            on_refused: Called with the error if it may not run.

        Returns:
            Cancels the wait; None if one of the functions was called already.
        """
        on_granted()
        return None

    def give_back(self, permit: Permit) -> None:
        """Return what a request took from the quota, since no searcher ran it."""
