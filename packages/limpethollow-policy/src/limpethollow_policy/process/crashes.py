"""Detects requests that crash searchers, from the connections lost while they ran."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

# Number of searchers that must have ended during a request before it is suspected as the cause.
_SUSPECT_THRESHOLD = 3
# How many of them must have run it on trial. A single one may be a coincidence, because other
# requests crash searchers, too.
_QUARANTINE_THRESHOLD = 2
# Maximum number of ids that are kept and sent for one request; more would add no evidence.
MAX_SEARCHERS = 32
# Maximum number of requests that are kept. The oldest are evicted first, and suspected ones before
# quarantined ones.
_MAX_REQUESTS = 256
_SUSPECT_SECONDS = 600.0
QUARANTINE_SECONDS = 86_400.0
# After this time a quarantined request gets one more trial: its searchers may have ended by
# coincidence, and only another run can show that.
RETRIAL_SECONDS = 60.0


class Standing(Enum):
    """Whether a request may run, and how.

    Attributes:
        TRUSTED: It runs without restrictions.
        SUSPECT: It runs on one searcher at a time until one answers.
        QUARANTINED: It is not run.
    """

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True, frozen=True)
class CrashEvidence:
    """Searchers whose connections ended during a request that no searcher has answered.

    Attributes:
        searchers: The searcher processes whose connections ended before a reply.
        on_trial: Those of them that ran the request on trial: one at a time, on a connection that
            was known to work.
        epoch: How often the request was released by an answer or by an operator. Evidence of an
            earlier epoch no longer counts.
    """

    searchers: frozenset[str] = frozenset()
    on_trial: frozenset[str] = frozenset()
    epoch: int = 0

    def __bool__(self) -> bool:
        return bool(self.searchers)

    @property
    def standing(self) -> Standing:
        """Return the standing of the request according to this evidence."""
        if len(self.searchers) < _SUSPECT_THRESHOLD:
            return Standing.TRUSTED
        if len(self.on_trial) < _QUARANTINE_THRESHOLD:
            return Standing.SUSPECT
        return Standing.QUARANTINED

    def with_lost(self, searcher: str, *, on_trial: bool) -> "CrashEvidence":
        """Return this evidence with one more searcher."""
        more = frozenset((searcher,))
        return self.merged(CrashEvidence(more, more if on_trial else frozenset(), self.epoch))

    def released(self) -> "CrashEvidence":
        """Return the evidence that remains after the request is released."""
        return CrashEvidence(epoch=self.epoch + 1)

    def without_trials(self) -> "CrashEvidence":
        """Return the evidence that remains after the trials were found inconclusive."""
        return CrashEvidence(self.searchers, epoch=self.epoch + 1)

    def without_searchers(self, searchers: frozenset[str]) -> "CrashEvidence":
        """Return this evidence without searchers whose ends had another cause."""
        return CrashEvidence(self.searchers - searchers, self.on_trial - searchers, self.epoch)

    def merged(self, other: "CrashEvidence") -> "CrashEvidence":
        """Return the union of both if their epochs are equal, otherwise the one of the later epoch.

        At most `MAX_SEARCHERS` are kept, first those that ran the request on trial.
        """
        if self.epoch != other.epoch:
            return max(self, other, key=lambda evidence: evidence.epoch)
        on_trial = sorted(self.on_trial | other.on_trial)[:MAX_SEARCHERS]
        others = sorted((self.searchers | other.searchers).difference(on_trial))
        searchers = [*on_trial, *others][:MAX_SEARCHERS]
        return CrashEvidence(frozenset(searchers), frozenset(on_trial), self.epoch)


_NO_EVIDENCE = CrashEvidence()


@dataclass(slots=True, frozen=True)
class CrashReport:
    """The evidence about one request.

    Attributes:
        fingerprint: The request's fingerprint, the same for each repeat.
        evidence: The evidence.
    """

    fingerprint: str
    evidence: CrashEvidence


@dataclass(slots=True)
class _Record:
    """The evidence about one request, with its last change.

    Attributes:
        evidence: The evidence.
        changed_at: Monotonic time of the last new evidence, in seconds.
        was_retried: Whether this instance has granted one more trial since then.
    """

    evidence: CrashEvidence
    changed_at: float
    was_retried: bool = False


class CrashRecords:
    """The evidence about all requests, from this instance and from others.

    Evidence of the same epoch is merged and never reduced, and a later epoch replaces an earlier
    one. Instances that receive reports in a different order, or twice, therefore reach the same
    result.
    """

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def evidence(self, fingerprint: str) -> CrashEvidence:
        """Return the evidence about a request."""
        record = self._records.get(fingerprint)
        return record.evidence if record is not None else _NO_EVIDENCE

    def grant_retrial(self, fingerprint: str, now: float) -> bool:
        """Return whether a quarantined request may run once more, on trial.

        If this trial fails, too, it is evidence for all instances, and no more trials follow.
        """
        record = self._records.get(fingerprint)
        if record is None or record.was_retried:
            return False
        is_first = len(record.evidence.on_trial) == _QUARANTINE_THRESHOLD
        record.was_retried = is_first and now - record.changed_at >= RETRIAL_SECONDS
        return record.was_retried

    def reports(self) -> list[CrashReport]:
        """Return all evidence, to be sent to an instance that may lack it."""
        return [CrashReport(name, record.evidence) for name, record in self._records.items()]

    def seconds_left(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request stays quarantined."""
        record = self._records.get(fingerprint)
        if record is None or record.evidence.standing is not Standing.QUARANTINED:
            return 0.0
        return max(0.0, record.changed_at + QUARANTINE_SECONDS - now)

    def quarantined(self) -> Collection[str]:
        """Return the fingerprints of the quarantined requests."""
        return [name for name, record in self._records.items() if _is_quarantined(record)]

    def add(self, report: CrashReport, now: float) -> bool:
        """Add evidence; return whether any of it was new."""
        known = self.evidence(report.fingerprint)
        merged = known.merged(report.evidence)
        if merged == known:
            return False
        # Reinserted at the end, so that the records are ordered by their last changes.
        self._records.pop(report.fingerprint, None)
        self._records[report.fingerprint] = _Record(merged, now)
        self._evict_oldest()
        return True

    def release(self, fingerprint: str, now: float) -> CrashReport | None:
        """Release a request after a searcher answered it, or on an operator's order.

        Returns:
            The report for the other instances; None if there is no evidence about the request.
        """
        evidence = self.evidence(fingerprint)
        if not evidence:
            return None
        report = CrashReport(fingerprint, evidence.released())
        self.add(report, now)
        return report

    def explained(self) -> list[str]:
        """Return the quarantined requests whose evidence is explained by other requests.

        Requests that ran on the same searchers lose their connections together. Of these, the one
        that was released least often counts as the cause; among equals, the one during which most
        searchers ended. Requests that would not be quarantined without these ends are returned.
        """
        suspects = [(name, self._records[name].evidence) for name in self.quarantined()]
        suspects.sort(key=lambda each: (each[1].epoch, -len(each[1].searchers), each[0]))
        attributed: frozenset[str] = frozenset()
        found = []
        for name, evidence in suspects:
            if evidence.without_searchers(attributed).standing is Standing.QUARANTINED:
                attributed |= evidence.searchers
            else:
                found.append(name)
        return found

    def discard_trials(self, fingerprint: str, now: float) -> CrashReport:
        """Discard a request's trials, which were inconclusive, so that it runs on trial again.

        Returns:
            The report for the other instances.
        """
        report = CrashReport(fingerprint, self.evidence(fingerprint).without_trials())
        self.add(report, now)
        return report

    def expire(self, now: float) -> list[str]:
        """Drop expired records; return the fingerprints of requests that may run again."""
        old = [name for name, record in self._records.items() if _is_expired(record, now)]
        released = [name for name in old if _is_quarantined(self._records[name])]
        for name in old:
            del self._records[name]
        return released

    def _evict_oldest(self) -> None:
        if len(self._records) > _MAX_REQUESTS:
            oldest = next(iter(self._records))
            suspects = (n for n, record in self._records.items() if not _is_quarantined(record))
            del self._records[next(suspects, oldest)]


def _is_quarantined(record: _Record) -> bool:
    return record.evidence.standing is Standing.QUARANTINED


def _is_expired(record: _Record, now: float) -> bool:
    lifetime = QUARANTINE_SECONDS if _is_quarantined(record) else _SUSPECT_SECONDS
    return now - record.changed_at > lifetime
