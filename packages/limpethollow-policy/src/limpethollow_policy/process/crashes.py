"""Requests under which searchers end: the evidence on each, and which may not run any more."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

# Searchers that must have ended under a request before it counts as their cause.
_LOST_TO_SUSPECT = 3
# How many of them must have run it on trial. One end may be a coincidence: others crash them too.
_TRIALS_TO_QUARANTINE = 2
# Ids that are kept and told of one request; more would prove nothing more.
_MOST_SEARCHERS = 32
# Requests that are kept. The oldest go first, suspects before quarantined ones.
_MOST_REQUESTS = 256
_SUSPECT_SECONDS = 600.0
QUARANTINE_SECONDS = 86_400.0
# After this long a quarantined request gets one more trial: its searchers may have ended by
# chance, and nothing else would show that.
RETRIAL_SECONDS = 60.0


class Standing(Enum):
    """How far a request is trusted.

    Attributes:
        TRUSTED: It runs as usual.
        SUSPECT: It runs at one searcher at a time until one answers.
        QUARANTINED: It doesn't run.
    """

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True, frozen=True)
class CrashEvidence:
    """Searchers whose connections ended under a request before any reply, while none answered it.

    Attributes:
        searchers: The runs of searchers that ended.
        on_trial: Those of them that ran it on trial: on a connection that was known to work, and
            one at a time.
        epoch: How often the request was released: by an answer, or by an operator. Evidence of an
            earlier epoch counts no more.
    """

    searchers: frozenset[str] = frozenset()
    on_trial: frozenset[str] = frozenset()
    epoch: int = 0

    def __bool__(self) -> bool:
        return bool(self.searchers)

    @property
    def standing(self) -> Standing:
        """Return how far it lets the request be trusted."""
        if len(self.searchers) < _LOST_TO_SUSPECT:
            return Standing.TRUSTED
        if len(self.on_trial) < _TRIALS_TO_QUARANTINE:
            return Standing.SUSPECT
        return Standing.QUARANTINED

    def with_lost(self, searcher: str, *, on_trial: bool) -> "CrashEvidence":
        """Return this and one more searcher."""
        more = frozenset((searcher,))
        return self.merged(CrashEvidence(more, more if on_trial else frozenset(), self.epoch))

    def released(self) -> "CrashEvidence":
        """Return what is left of it once the request is released."""
        return CrashEvidence(epoch=self.epoch + 1)

    def without_trials(self) -> "CrashEvidence":
        """Return what is left of it once its trials turn out to prove nothing."""
        return CrashEvidence(self.searchers, epoch=self.epoch + 1)

    def unexplained(self, searchers: frozenset[str]) -> "CrashEvidence":
        """Return what is left of it without some searchers, whose ends had another cause."""
        return CrashEvidence(self.searchers - searchers, self.on_trial - searchers, self.epoch)

    def merged(self, other: "CrashEvidence") -> "CrashEvidence":
        """Return this and other evidence, those on trial first where there are too many."""
        if self.epoch != other.epoch:
            return max(self, other, key=lambda evidence: evidence.epoch)
        on_trial = sorted(self.on_trial | other.on_trial)[:_MOST_SEARCHERS]
        others = sorted((self.searchers | other.searchers).difference(on_trial))
        searchers = [*on_trial, *others][:_MOST_SEARCHERS]
        return CrashEvidence(frozenset(searchers), frozenset(on_trial), self.epoch)


_NO_EVIDENCE = CrashEvidence()


@dataclass(slots=True, frozen=True)
class CrashReport:
    """The evidence on one request.

    Attributes:
        fingerprint: The request's fingerprint, the same for each repeat.
        evidence: The evidence.
    """

    fingerprint: str
    evidence: CrashEvidence


@dataclass(slots=True)
class _Record:
    """What is known of one request.

    Attributes:
        evidence: The evidence.
        changed_at: When the last of it came in.
        was_retried: Whether this instance has given it one more trial since.
    """

    evidence: CrashEvidence
    changed_at: float
    was_retried: bool = False


class CrashLedger:
    """The evidence on all requests, from this instance and from others.

    Evidence of one epoch is only ever added up, and a later epoch replaces an earlier one. So
    instances that were told in another order, or twice, come to the same conclusion.
    """

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def evidence(self, fingerprint: str) -> CrashEvidence:
        """Return the evidence on a request."""
        record = self._records.get(fingerprint)
        return record.evidence if record is not None else _NO_EVIDENCE

    def grant_retrial(self, fingerprint: str, now: float) -> bool:
        """Return whether a quarantined request may run once more, on trial.

        One such trial that fails is evidence for all instances, and the last.
        """
        record = self._records.get(fingerprint)
        if record is None or record.was_retried:
            return False
        is_first = len(record.evidence.on_trial) == _TRIALS_TO_QUARANTINE
        record.was_retried = is_first and now - record.changed_at >= RETRIAL_SECONDS
        return record.was_retried

    def reports(self) -> list[CrashReport]:
        """Return all evidence, for an instance that may lack it."""
        return [CrashReport(name, record.evidence) for name, record in self._records.items()]

    def seconds_left(self, fingerprint: str, now: float) -> float:
        """Return for how long a request is still quarantined."""
        record = self._records.get(fingerprint)
        if record is None or record.evidence.standing is not Standing.QUARANTINED:
            return 0.0
        return max(0.0, record.changed_at + QUARANTINE_SECONDS - now)

    def quarantined(self) -> Collection[str]:
        """Return the fingerprints of the requests that may not run."""
        return [name for name, record in self._records.items() if _is_quarantined(record)]

    def add(self, report: CrashReport, now: float) -> bool:
        """Add evidence; return whether any of it was new."""
        known = self.evidence(report.fingerprint)
        merged = known.merged(report.evidence)
        if merged == known:
            return False
        # Moved to the end: the order of records is that of their last changes.
        self._records.pop(report.fingerprint, None)
        self._records[report.fingerprint] = _Record(merged, now)
        self._make_room()
        return True

    def release(self, fingerprint: str, now: float) -> CrashReport | None:
        """Let a request run as usual again, as a searcher answered it or an operator wants it.

        Returns:
            What others must know of that; None where there is no evidence against it.
        """
        evidence = self.evidence(fingerprint)
        if not evidence:
            return None
        report = CrashReport(fingerprint, evidence.released())
        self.add(report, now)
        return report

    def explained(self) -> list[str]:
        """Return the quarantined requests that would not be without the ends another one explains.

        Requests that ran on the same searchers lose their connections together. Of them, the one
        that was released least often is to blame, or else that under which most searchers ended.
        """
        suspects = [(name, self._records[name].evidence) for name in self.quarantined()]
        suspects.sort(key=lambda each: (each[1].epoch, -len(each[1].searchers), each[0]))
        blamed: frozenset[str] = frozenset()
        found = []
        for name, evidence in suspects:
            if evidence.unexplained(blamed).standing is Standing.QUARANTINED:
                blamed |= evidence.searchers
            else:
                found.append(name)
        return found

    def try_again(self, fingerprint: str, now: float) -> CrashReport:
        """Let a request run on trial again, as its trials proved nothing.

        Returns:
            What others must know of that.
        """
        report = CrashReport(fingerprint, self.evidence(fingerprint).without_trials())
        self.add(report, now)
        return report

    def expire(self, now: float) -> list[str]:
        """Forget what is too old; return the fingerprints of the requests that may run again."""
        old = [name for name, record in self._records.items() if _is_over(record, now)]
        released = [name for name in old if _is_quarantined(self._records[name])]
        for name in old:
            del self._records[name]
        return released

    def _make_room(self) -> None:
        if len(self._records) > _MOST_REQUESTS:
            oldest = next(iter(self._records))
            suspects = (n for n, record in self._records.items() if not _is_quarantined(record))
            del self._records[next(suspects, oldest)]


def _is_quarantined(record: _Record) -> bool:
    return record.evidence.standing is Standing.QUARANTINED


def _is_over(record: _Record, now: float) -> bool:
    lifetime = QUARANTINE_SECONDS if _is_quarantined(record) else _SUSPECT_SECONDS
    return now - record.changed_at > lifetime
