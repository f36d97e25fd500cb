"""Checks the keys of callers' requests."""

from limpethollow_node.engine.messages import Request
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import CurrentVersion, Route


class AccessControl:
    """Decides whether a request may run, and for which team.

    Args:
        versions: Holds the active version.
    """

    __slots__ = ("_versions",)

    def __init__(self, versions: CurrentVersion) -> None:
        self._versions = versions

    def admit(self, request: Request, route: Route) -> Permit:
        """Return the permit of a request.

        Args:
            request: The caller's request.
            route: Its route.
        """
        homes = frozenset(route.homes) if route.homes else None
        return Permit(route.priority, version=self._versions.current.number, homes=homes)
