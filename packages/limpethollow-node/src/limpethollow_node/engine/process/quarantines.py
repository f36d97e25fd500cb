"""Quarantine of requests that are suspected of crashing searchers."""

from collections.abc import Callable, Sequence

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.crashes import CrashRecords, CrashReport, Standing
from limpethollow_policy.request.crash_guards import CrashGuard
from limpethollow_wire.exceptions import Quarantined

Clock = Callable[[], float]


class Quarantines:
    """Collects and shares evidence about requests, and rejects those that are quarantined.

    Args:
        metrics: The process's metrics.
        clock: Returns the monotonic time in seconds.

    Attributes:
        on_reports: Called with new evidence that is to be sent to the other instances.
        on_quarantined: Called with all evidence about a quarantined request whenever this instance
            added to it.
        on_released: Called with the fingerprint of each request that this instance released from
            quarantine.
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
        self._ledger = CrashRecords()
        self._metrics = metrics
        self.on_reports: Callable[[list[CrashReport]], None] = lambda reports: None
        self.on_quarantined: Callable[[CrashReport], None] = lambda report: None
        self.on_released: Callable[[str], None] = lambda fingerprint: None

    @property
    def count(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._ledger.quarantined())

    def guard(self, fingerprint: str) -> CrashGuard:
        """Return the crash guard of a request that is about to run.

        Args:
            fingerprint: The request's fingerprint.

        Raises:
            Quarantined: The request is quarantined and no retrial is due.
        """
        evidence = self._ledger.evidence(fingerprint)
        if evidence.standing is not Standing.QUARANTINED:
            return CrashGuard(fingerprint, evidence)
        now = self._clock()
        if self._ledger.grant_retrial(fingerprint, now):
            return CrashGuard(fingerprint, evidence, retrial=True)
        self._metrics.count("quarantined_requests_refused")
        raise Quarantined(
            "This request is quarantined, because each searcher that ran it ended.",
            retry_after=self._ledger.seconds_left(fingerprint, now),
        )

    def ended(self, guard: CrashGuard) -> None:
        """Record a request's evidence, when it ends or as soon as it is quarantined."""
        if guard.has_answer:
            self.release(guard.fingerprint, "answered")
        elif guard.evidence:
            self._add_own(CrashReport(guard.fingerprint, guard.evidence))

    def reports(self) -> list[CrashReport]:
        """Return all evidence, to be sent to an instance that may lack it."""
        return self._ledger.reports()

    def quarantined_reports(self) -> list[CrashReport]:
        """Return the evidence about the quarantined requests."""
        return [
            CrashReport(name, self._ledger.evidence(name)) for name in self._ledger.quarantined()
        ]

    def take(self, reports: Sequence[CrashReport], source: str) -> list[CrashReport]:
        """Merge evidence from another source; return the reports that were new.

        Args:
            reports: The evidence.
            source: Name of the source.
        """
        return [report for report in reports if self._add(report, source)]

    def merge_report(self, report: CrashReport, source: str) -> None:
        """Merge evidence from another source, and send it to the other instances if it was new."""
        fresh = self.take([report], source)
        if fresh:
            self.on_reports(fresh)

    def release(self, fingerprint: str, reason: str) -> None:
        """Release a request from suspicion and quarantine, on this and all other instances."""
        was = self._standing(fingerprint)
        report = self._ledger.release(fingerprint, self._clock())
        if report is None:
            return
        if was is not Standing.TRUSTED:
            events.SUSPICION_ENDED.log(fingerprint=fingerprint, was=was.value, reason=reason)
        if was is Standing.QUARANTINED:
            self.on_released(fingerprint)
        self.on_reports([report])

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined."""
        return self._standing(fingerprint) is Standing.QUARANTINED

    def is_released(self, report: CrashReport) -> bool:
        """Return whether a request was released after a report was created."""
        return self._ledger.evidence(report.fingerprint).epoch > report.evidence.epoch

    def expire(self) -> list[str]:
        """Drop expired evidence; return the fingerprints released from quarantine by that."""
        released = self._ledger.expire(self._clock())
        for fingerprint in released:
            was = Standing.QUARANTINED.value
            events.SUSPICION_ENDED.log(fingerprint=fingerprint, was=was, reason="expired")
        return released

    def _add_own(self, report: CrashReport) -> None:
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
            self._release_explained()
        return True

    def _release_explained(self) -> None:
        """Release requests whose crashes are explained by another quarantined request."""
        for fingerprint in self._ledger.explained():
            report = self._ledger.discard_trials(fingerprint, self._clock())
            was = Standing.QUARANTINED.value
            events.SUSPICION_ENDED.log(fingerprint=fingerprint, was=was, reason="explained")
            self.on_released(fingerprint)
            self.on_reports([report])

    def _standing(self, fingerprint: str) -> Standing:
        return self._ledger.evidence(fingerprint).standing
