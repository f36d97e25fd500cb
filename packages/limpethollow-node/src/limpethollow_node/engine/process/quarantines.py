"""Requests that don't run any more, because searchers ended under them."""

from collections.abc import Callable, Sequence

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.crashes import CrashLedger, CrashReport, Standing
from limpethollow_policy.request.crashguards import CrashGuard
from limpethollow_wire.exceptions import Quarantined

Clock = Callable[[], float]


class Quarantines:
    """Collects the evidence on requests, shares it, and refuses those that are quarantined.

    Args:
        metrics: The process's counters.
        clock: Returns the monotonic second.

    Attributes:
        on_reports: Called with evidence that is new here, for the other instances.
        on_quarantined: Called with the evidence on a quarantined request whenever this instance
            has added to it.
        on_released: Called with the fingerprint of each request that this instance has released
            from quarantine.
    """

    __slots__ = (
        "_clock",
        "_ledger",
        "_metrics",
        "on_quarantined",
        "on_released",
        "on_reports",
    )

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._clock = clock
        self._ledger = CrashLedger()
        self._metrics = metrics
        self.on_reports: Callable[[list[CrashReport]], None] = lambda reports: None
        self.on_quarantined: Callable[[CrashReport], None] = lambda report: None
        self.on_released: Callable[[str], None] = lambda fingerprint: None

    @property
    def count(self) -> int:
        """Return how many requests are quarantined."""
        return len(self._ledger.quarantined())

    def guard(self, fingerprint: str) -> CrashGuard:
        """Return the guard of a request that is about to run.

        Args:
            fingerprint: The request's fingerprint.

        Raises:
            Quarantined: It doesn't run any more.
        """
        evidence = self._ledger.evidence(fingerprint)
        if evidence.standing is not Standing.QUARANTINED:
            return CrashGuard(fingerprint, evidence)
        now = self._clock()
        if self._ledger.grant_retrial(fingerprint, now):
            return CrashGuard(fingerprint, evidence, retrial=True)
        self._metrics.count("quarantined_requests_refused")
        raise Quarantined(
            "Each searcher that ran this request ended.",
            retry_after=self._ledger.seconds_left(fingerprint, now),
        )

    def ended(self, guard: CrashGuard) -> None:
        """Take in what a request has shown, at its end or as soon as it is quarantined."""
        if guard.has_answer:
            self.release(guard.fingerprint, "answered")
        elif guard.evidence:
            self._take_own(CrashReport(guard.fingerprint, guard.evidence))

    def reports(self) -> list[CrashReport]:
        """Return all evidence, for an instance that may lack it."""
        return self._ledger.reports()

    def quarantined_reports(self) -> list[CrashReport]:
        """Return the evidence on the requests that may not run."""
        return [
            CrashReport(name, self._ledger.evidence(name)) for name in self._ledger.quarantined()
        ]

    def take(self, reports: Sequence[CrashReport], source: str) -> list[CrashReport]:
        """Take in evidence from elsewhere; return what was new.

        Args:
            reports: The evidence.
            source: Who told it.
        """
        return [report for report in reports if self._add(report, source)]

    def learn(self, report: CrashReport, source: str) -> None:
        """Take in evidence from elsewhere, and tell the other instances where it was new."""
        fresh = self.take([report], source)
        if fresh:
            self.on_reports(fresh)

    def release(self, fingerprint: str, reason: str) -> None:
        """Let a request run as usual again, here and at all other instances."""
        was = self._standing(fingerprint)
        report = self._ledger.release(fingerprint, self._clock())
        if report is None:
            return
        if was is not Standing.TRUSTED:
            events.REQUEST_RELEASED.log(fingerprint=fingerprint, was=was.value, reason=reason)
        if was is Standing.QUARANTINED:
            self.on_released(fingerprint)
        self.on_reports([report])

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request doesn't run."""
        return self._standing(fingerprint) is Standing.QUARANTINED

    def is_released(self, report: CrashReport) -> bool:
        """Return whether a request was released after a report was made."""
        return self._ledger.evidence(report.fingerprint).epoch > report.evidence.epoch

    def expire(self) -> list[str]:
        """Forget what is too old; return the fingerprints that are quarantined no more."""
        released = self._ledger.expire(self._clock())
        for fingerprint in released:
            was = Standing.QUARANTINED.value
            events.REQUEST_RELEASED.log(fingerprint=fingerprint, was=was, reason="expired")
        return released

    def _take_own(self, report: CrashReport) -> None:
        if not self._add(report, "own"):
            return
        merged = CrashReport(report.fingerprint, self._ledger.evidence(report.fingerprint))
        self.on_reports([merged])
        if merged.evidence.standing is Standing.QUARANTINED:
            self.on_quarantined(merged)

    def _add(self, report: CrashReport, source: str) -> bool:
        was = self._standing(report.fingerprint)
        if not self._ledger.add(report, self._clock()):
            return False
        standing = self._standing(report.fingerprint)
        if standing is not was:
            evidence = self._ledger.evidence(report.fingerprint)
            self._metrics.count("suspect_requests", standing.value)
            events.REQUEST_SUSPECTED.log(
                fingerprint=report.fingerprint,
                standing=standing.value,
                source=source,
                searchers=sorted(evidence.searchers),
                on_trial=sorted(evidence.on_trial),
            )
            self._try_explained_again()
        return True

    def _try_explained_again(self) -> None:
        """Let requests run again whose searchers ended under another quarantined one."""
        for fingerprint in self._ledger.explained():
            report = self._ledger.try_again(fingerprint, self._clock())
            was = Standing.QUARANTINED.value
            events.REQUEST_RELEASED.log(fingerprint=fingerprint, was=was, reason="explained")
            self.on_released(fingerprint)
            self.on_reports([report])

    def _standing(self, fingerprint: str) -> Standing:
        return self._ledger.evidence(fingerprint).standing
