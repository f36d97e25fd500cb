"""Decides whether a searcher is draining, and which changes other instances are notified of.

The sources, in order of precedence:

1. The service's configuration: the operators' intent, for as long as it is in force.
2. The searcher's own most recent report, received here or by another instance. Reports forwarded
   by another instance carry their age, so a delayed notice does not override a newer reply.
3. The platform's list. It lags, but may also be the first to know: a reply from before the listing
   does not override it. It is overridden only if the searcher has since been seen to leave and
   come back, or still reports that it is staying `LISTING_TRUSTED_SECONDS` after the listing.

Health and load endpoints are not used: they lag and can be misleading.
"""

from dataclasses import dataclass

LISTING_TRUSTED_SECONDS = 30.0
PROBE_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class DrainReport:
    """A searcher's report of whether it is draining.

    Attributes:
        draining: The reported state.
        reported_at: Local monotonic second at which the searcher reported it.
    """

    draining: bool
    reported_at: float


class DrainEvidence:
    """Combines all sources on whether one searcher is draining.

    Args:
        configured: Whether the service's configuration marks it as draining.
    """

    __slots__ = ("_listed_at", "_probed_at", "_seen_leaving", "_latest", "configured")

    def __init__(self, configured: bool) -> None:
        self.configured = configured
        self._latest = DrainReport(False, float("-inf"))
        self._listed_at: float | None = None
        self._seen_leaving = False
        self._probed_at = float("-inf")

    @property
    def word(self) -> DrainReport:
        """The searcher's most recent report."""
        return self._latest

    def is_leaving(self) -> bool:
        """Return whether the searcher must get no new work."""
        return self.configured or self._latest.draining or self._listed_at is not None

    def said(self, draining: bool, reported_at: float) -> bool:
        """Process a report of whether the searcher is draining.

        It comes from the searcher's own reply or from another instance's notice.

        Returns:
            Whether the reported state changed, so that other instances should be notified.
        """
        if reported_at < self._latest.reported_at:
            return False
        changed = draining != self._latest.draining
        self._latest = DrainReport(draining, reported_at)
        if draining:
            self._seen_leaving = True
        elif self._listed_at is not None and self._overrides_list(reported_at):
            self._listed_at = None
        return changed

    def refused(self) -> None:
        """Record that the searcher refused a connection: it may be restarting."""
        self._seen_leaving = True

    def listed(self, leaving: bool, now: float) -> None:
        """Process the state in the platform's list."""
        if not leaving:
            self._listed_at = None
        elif self._listed_at is None:
            self._listed_at = now
            self._seen_leaving = self._latest.draining

    def wants_probe(self, now: float) -> bool:
        """Return whether to probe a draining searcher; true at most every `PROBE_SECONDS`."""
        if self.configured or not self.is_leaving() or now < self._probed_at + PROBE_SECONDS:
            return False
        self._probed_at = now
        return True

    def _overrides_list(self, reported_at: float) -> bool:
        assert self._listed_at is not None
        return self._seen_leaving or reported_at >= self._listed_at + LISTING_TRUSTED_SECONDS
