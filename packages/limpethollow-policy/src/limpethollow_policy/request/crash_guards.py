"""Prevents a single request from crashing one searcher after another."""

from collections import deque
from collections.abc import Callable

from limpethollow_policy.process.crashes import CrashEvidence, Standing


class CrashGuard:
    """Decides which sends of a request are allowed after searchers crashed while processing it.

    A request that crashes searchers looks like one that was in progress when a searcher crashed for
    another reason. Trials distinguish them: a suspect request is sent to one searcher at a time. An
    answer clears it and releases the waiting sends; once the number of crashes reaches the
    quarantine threshold, it is not sent any more.

    Usage:
        if not guard.may_send():
            guard.wait(resume)              # called once it is allowed, or once quarantined
        on_trial = guard.begin(searcher, doubtful=False)
        ...
        guard.lost(searcher)                # or answered(), or ended(searcher)

    Args:
        fingerprint: The request's fingerprint.
        earlier: Evidence from earlier attempts of the request, here or at other instances.
        retrial: Whether it is sent despite the earlier evidence, until one more searcher crashes.

    Attributes:
        evidence: Evidence from this attempt, in addition to the earlier evidence.
        fingerprint: The request's fingerprint.
    """

    __slots__ = (
        "_all_evidence",
        "_answered",
        "_earlier",
        "_is_trial_conclusive",
        "_trial_searcher",
        "_retrial",
        "_waiting",
        "evidence",
        "fingerprint",
    )

    def __init__(
        self,
        fingerprint: str,
        earlier: CrashEvidence,
        *,
        retrial: bool = False,
    ) -> None:
        # Merged in advance, since each send of a search reads it twice.
        self._all_evidence = earlier
        self._answered = False
        self._earlier = earlier
        self._is_trial_conclusive = False
        self._trial_searcher: str | None = None
        self._retrial = retrial
        self._waiting: deque[Callable[[], None]] = deque()
        self.evidence = CrashEvidence(epoch=earlier.epoch)
        self.fingerprint = fingerprint

    @property
    def has_answer(self) -> bool:
        """Return whether a searcher has answered the request."""
        return self._answered

    @property
    def standing(self) -> Standing:
        """Return how far the request is currently trusted.

        A repeat of a request that any searcher crashed on is a suspect from its first send on.
        """
        if self._answered:
            return Standing.TRUSTED
        if self._retrial and not self.evidence:
            return Standing.SUSPECT
        standing = self._all_evidence.standing
        if standing is Standing.TRUSTED and self._earlier:
            return Standing.SUSPECT
        return standing

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request must not be sent any more."""
        return self.standing is Standing.QUARANTINED

    @property
    def needs_trial(self) -> bool:
        """Return whether a searcher's crash during a send would count against the request.

        The first loss does not count: it may be that of a reused connection, whose searcher was
        already down.
        """
        return not self._answered and bool(self._all_evidence)

    def may_send(self) -> bool:
        """Return whether another send is allowed now."""
        standing = self.standing
        return standing is Standing.TRUSTED or (
            standing is Standing.SUSPECT and self._trial_searcher is None
        )

    def wait(self, resume: Callable[[], None]) -> None:
        """Register a callback for when another send is allowed or the request is quarantined."""
        self._waiting.append(resume)

    def begin(self, searcher: str, *, doubtful: bool) -> bool:
        """Record a send to a searcher; return whether it is a trial, on a connection of its own.

        Args:
            searcher: Identifies the process of the searcher.
            doubtful: Whether the searcher may already be down, so that its loss proves nothing.
        """
        if self._trial_searcher is not None or not self.needs_trial:
            return False
        self._trial_searcher = searcher
        self._is_trial_conclusive = not doubtful
        return True

    def lost(self, searcher: str) -> None:
        """Record that the connection was lost after the request and before any byte of a reply."""
        # A retrial ends with its first loss; otherwise each instance would start one of its own.
        on_trial = searcher == self._trial_searcher and (self._is_trial_conclusive or self._retrial)
        self.evidence = self.evidence.with_lost(searcher, on_trial=on_trial)
        self._all_evidence = self._earlier.merged(self.evidence)
        self.ended(searcher)

    def ended(self, searcher: str) -> None:
        """Record that a send ended or was abandoned.

        This alone adds no evidence about whether the request crashes searchers.
        """
        if searcher == self._trial_searcher:
            self._trial_searcher = None
        self._resume_waiting()

    def answered(self) -> None:
        """Record that a searcher answered the request."""
        self._answered = True
        self._trial_searcher = None
        self._resume_waiting()

    def close(self) -> None:
        """Discard all callbacks, since the request has completed."""
        self._waiting.clear()

    def _resume_waiting(self) -> None:
        """Resume as many waiting sends as are allowed; all of them once quarantined."""
        while self._waiting and (self.may_send() or self.is_quarantined):
            self._waiting.popleft()()
