"""Keeps one request from ending one searcher after the other."""

from collections import deque
from collections.abc import Callable

from limpethollow_policy.process.crashes import CrashEvidence, Standing


class CrashGuard:
    """Decides which sends of a request may go out after connections have ended under it.

    A request that ends its searchers looks like one that was on them when something else did. It is
    told apart by trials: a suspect goes to one searcher at a time. An answer clears it, and what
    waited goes out; as many ends as make a quarantine stop it.

    Usage:
        if not guard.may_send():
            guard.wait(resume)              # called when it is this send's turn, or none may go out
        on_trial = guard.begin(searcher, doubtful=False)
        ...
        guard.lost(searcher)                # or answered(), or ended(searcher)

    Args:
        fingerprint: The request's fingerprint.
        earlier: The evidence from earlier repeats of it, here or at other instances.
        retrial: Whether it runs in spite of the earlier evidence, until one more searcher ends.

    Attributes:
        evidence: What this run of the request adds to the earlier evidence.
        fingerprint: The request's fingerprint.
    """

    __slots__ = (
        "_all_evidence",
        "_answered",
        "_earlier",
        "_is_sound",
        "_on_trial",
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
        # Kept rather than merged when asked for: each send of a search asks for it twice.
        self._all_evidence = earlier
        self._answered = False
        self._earlier = earlier
        self._is_sound = False
        self._on_trial: str | None = None
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
        """Return how far the request is trusted now.

        A repeat of one under which any searcher ended is a suspect from its first send on.
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
        """Return whether the request may not be sent any more."""
        return self.standing is Standing.QUARANTINED

    @property
    def wants_trials(self) -> bool:
        """Return whether a searcher's end under a send would count against the request.

        The first end may be that of a kept connection, whose searcher was gone before.
        """
        return not self._answered and bool(self._all_evidence)

    def may_send(self) -> bool:
        """Return whether another send may go out now."""
        standing = self.standing
        return standing is Standing.TRUSTED or (
            standing is Standing.SUSPECT and self._on_trial is None
        )

    def wait(self, resume: Callable[[], None]) -> None:
        """Call back once a send may go out, or none may any more."""
        self._waiting.append(resume)

    def begin(self, searcher: str, *, doubtful: bool) -> bool:
        """Note a send to a searcher; return whether it is a trial, on a connection of its own.

        Args:
            searcher: The run of the searcher.
            doubtful: Whether the searcher may be gone already. Its end proves nothing then.
        """
        if self._on_trial is not None or not self.wants_trials:
            return False
        self._on_trial = searcher
        self._is_sound = not doubtful
        return True

    def lost(self, searcher: str) -> None:
        """Take in that a connection ended under the request before any byte of a reply."""
        # A retrial is over with its first end, or each instance would begin one of its own.
        on_trial = searcher == self._on_trial and (self._is_sound or self._retrial)
        self.evidence = self.evidence.with_lost(searcher, on_trial=on_trial)
        self._all_evidence = self._earlier.merged(self.evidence)
        self.ended(searcher)

    def ended(self, searcher: str) -> None:
        """Take in that a send ended, or was given up, in a way that proves nothing."""
        if searcher == self._on_trial:
            self._on_trial = None
        self._resume()

    def answered(self) -> None:
        """Take in that a searcher answered the request."""
        self._answered = True
        self._on_trial = None
        self._resume()

    def close(self) -> None:
        """Call nobody back any more: the request is over."""
        self._waiting.clear()

    def _resume(self) -> None:
        """Call back as many sends as may go out; all of them where none may any more."""
        while self._waiting and (self.may_send() or self.is_quarantined):
            self._waiting.popleft()()
