"""Decides which part of every team's quota this instance's buckets hold."""

from collections.abc import Collection

# An instance may spend a token for this long after it asked for it, in seconds. A token that is
# returned after its request was refused keeps the same limit.
LOAN_SECONDS = 0.5
# The other instances remove an instance from the list after 30 s of silence and use its part later.
# A holder that could not confirm its list for this long, in seconds, stops before that.
CUT_OFF_SECONDS = 20.0
# A holder that has an outdated list has stopped this many seconds after a change at the latest: the
# time above, and 3 s in which changes reach every instance that is not cut off.
_UNHEARD_STOP_SECONDS = CUT_OFF_SECONDS + 3.0
# A process that did not run for this long was suspended. What it reads next may have been sent
# before, so for `_SETTLE_SECONDS` nothing that it reads confirms its list.
_SUSPENSION_SECONDS = 5.0
_SETTLE_SECONDS = 3.0
# Instances that reach the store and hear at least one other remove those that they don't hear. So a
# holder that does not hear more than this many may have been removed by them, even if it hears all
# other holders: these may all be cut off with it.
_MAX_SILENT = 1
# Until this many seconds after the first start of the whole system, no caller sends requests, and
# the list of instances is being filled.
FIRST_START_SECONDS = 6.0


class _Change:
    """A change of the holders that other holders may not have applied yet.

    Args:
        count: Number of holders before the change.
        unheard: Holders that have not reported the changed list yet.
        due: Time in seconds at which the change counts as applied everywhere, heard or not.
        starts: Whether this instance became a holder with it.
    """

    __slots__ = ("count", "due", "starts", "unheard")

    def __init__(self, count: int, unheard: set[str], due: float, *, starts: bool) -> None:
        self.count = count
        self.unheard = unheard
        self.due = due
        self.starts = starts


class HolderRole:
    """Decides whether this instance is a holder, and of how many.

    The parts of all holders must never add up to more than one within a window. A holder that is
    no longer listed stops at once. A new one, or one whose part grows, waits until all holders
    have reported the changed list, or must have stopped, and for the window and a loan after that.

    Args:
        own: Name of this instance.
        window: Length of the quota's window in seconds.
        first_start: Whether the whole system starts for the first time.
        now: Current time in seconds of CLOCK_BOOTTIME, as in all methods.
    """

    __slots__ = (
        "_changes",
        "_confirmed_at",
        "_deaf_until",
        "_first_start_until",
        "_holders",
        "_is_active",
        "_lapsed",
        "_looked_at",
        "_own",
        "_window",
        "active_since",
        "starts_full",
    )

    def __init__(self, own: str, window: float, *, first_start: bool, now: float) -> None:
        self._own = own
        self._window = window
        self._first_start_until = now + FIRST_START_SECONDS if first_start else now
        self._holders: frozenset[str] | None = None
        self._changes: list[_Change] = []
        self._confirmed_at = float("-inf")
        self._deaf_until = float("-inf")
        self._lapsed = False
        self._is_active = False
        self._looked_at = now
        self.active_since = now
        self.starts_full = False

    @property
    def holders(self) -> frozenset[str]:
        """Return the names of the holders in this instance's list."""
        return self._holders or frozenset()

    @property
    def awaits_reports(self) -> bool:
        """Return whether other holders have not reported a change of the list yet."""
        return any(change.unheard for change in self._changes)

    @property
    def part(self) -> float:
        """Return the part of each quota that the buckets here hold, as of the last look."""
        if not self._is_active:
            return 0.0
        return 1.0 / max(len(self.holders), *(change.count for change in self._changes), 1)

    def set_window(self, window: float, now: float) -> None:
        """Change the length of the window; a longer one also lengthens waits that have begun."""
        for change in self._changes:
            change.due = max(change.due, change.due + window - self._window)
        self._window = window
        self.look(now)

    def listed(
        self, holders: frozenset[str], names: Collection[str], now: float, *, established: bool
    ) -> None:
        """Apply a list of instances.

        Args:
            holders: The holders among the listed instances.
            names: All listed instances.
            now: Current time in seconds.
            established: Whether all entries are older than a window. Then an instance that is on
                the first list of its process was a holder before, and refills at once.
        """
        self.look(now)
        before, self._holders = self._holders, holders
        if before == holders:
            return
        if now < self._first_start_until:
            self._changes.clear()
        elif before is None:
            if self._own in holders and not established:
                self._add_change(holders, names, len(holders), now, starts=True)
        else:
            starts = self._own in holders - before
            self._add_change(before | holders, names, len(before), now, starts=starts)
        self._update(now)

    def heard(
        self, names: Collection[str], applied: Collection[str], silent: int, now: float
    ) -> None:
        """Record which other instances are heard now.

        Args:
            names: Heard instances that know no later list than this instance's.
            applied: Heard instances that have applied the last change of this instance's list.
            silent: Number of listed instances that nobody heard here hears.
            now: Current time in seconds.
        """
        self.look(now)
        if now < self._deaf_until:
            return
        for change in self._changes:
            if change.unheard:
                change.unheard.difference_update(applied)
                if not change.unheard:
                    change.due = min(change.due, now + self._window + LOAN_SECONDS)
        if self._holders is None or silent > _MAX_SILENT:
            return
        if self._holders - {self._own} <= set(names):
            self.confirmed(now)

    def confirmed(self, now: float) -> None:
        """Record that the store's list is this instance's one."""
        self.look(now)
        if now >= self._deaf_until:
            self._confirmed_at = now
            self._update(now)

    def look(self, now: float) -> None:
        """Apply what is due; called a few times a second and before each use after a pause."""
        if now - self._looked_at > _SUSPENSION_SECONDS:
            self._confirmed_at = float("-inf")
            self._deaf_until = now + _SETTLE_SECONDS
        self._looked_at = now
        self._update(now)

    def _add_change(
        self,
        holders: frozenset[str],
        names: Collection[str],
        count: int,
        now: float,
        *,
        starts: bool,
    ) -> None:
        unheard = set(holders.intersection(names)) - {self._own}
        wait = self._window + LOAN_SECONDS + (_UNHEARD_STOP_SECONDS if unheard else 0.0)
        self._changes.append(_Change(count, unheard, now + wait, starts=starts))

    def _update(self, now: float) -> None:
        self._changes = [change for change in self._changes if change.due > now]
        is_fresh = now - self._confirmed_at <= CUT_OFF_SECONDS
        if self._lapsed and is_fresh:
            # The others may have used this part meanwhile, so it begins as a new holder's does.
            self._lapsed = False
            self._add_change(self.holders, self.holders, len(self.holders), now, starts=True)
        was_active = self._is_active
        self._lapsed = self._lapsed or (was_active and not is_fresh)
        self._is_active = (
            is_fresh
            and self._own in self.holders
            and not any(change.starts for change in self._changes)
        )
        if self._is_active and not was_active:
            self.active_since = now
            self.starts_full = now < self._first_start_until
