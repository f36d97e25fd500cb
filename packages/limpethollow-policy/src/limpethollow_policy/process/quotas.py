"""Teams' quotas: buckets at the holders, and loans that other instances take from them.

All times are seconds of CLOCK_BOOTTIME, which also counts while a machine is suspended.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from limpethollow_policy.process.quotaholders import LOAN_SECONDS, HolderRole
from limpethollow_policy.version.tenants import Tenant

# Fraction of the bound that the buckets use. The rest covers requests that wait for a connection
# after they took their token, and the event loop's delays.
_USABLE_FRACTION = 0.95
# An unanswered ask counts as pending for this long, in seconds; then another holder is asked, too.
# An answer takes 1 to 6 ms.
PENDING_SECONDS = 0.01
# A holder that did not answer within the first time, in seconds, is not asked for the second.
_ANSWER_SECONDS, _SILENT_SECONDS = 0.1, 0.5
# Asks of one instance for one team to one holder: a second, and at once.
ASKS_PER_SECOND, ASKS_AT_ONCE = 20.0, 5.0
# Bounds in seconds of the time after which a holder without a token may be asked again. The upper
# one limits how long a token that came back meanwhile stays unused.
_MIN_WAIT, _MAX_WAIT = 0.05, 0.5
# The wait that an instance tells which is no holder, or doesn't know the team yet.
_NO_HOLDER_WAIT = 0.25
# An instance with at least this many requests in the last loan time asks for half as many tokens
# in advance. With fewer, the tokens would often expire unused.
_MIN_EXPECTED = 4
# Fractions of tokens are asked for only where a bucket holds fewer tokens than this. Else they are
# a small part of it, and where many instances compete for them, most expire before they make up a
# token: a team with 50 a second that sent 500 was served 23 a second with fractions, 51 without.
_SMALL_DEPTH = 2.0
# An ask for less than one token is one for a fraction.
_LARGEST_FRACTION = 0.999
# Rounding errors of sums of fractions of tokens.
_EPSILON = 1e-9


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """How many requests of a team may run in any window, beside its rate and burst.

    Attributes:
        window: Length of the window in seconds.
        excess: Fraction by which the requests may exceed rate and burst.
        slack: Additional requests.
    """

    window: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


def bucket_size(rate: float, burst: float, bounds: QuotaBounds) -> tuple[float, float]:
    """Return depth and refill per second of all buckets of a team together.

    A token that runs in a window was taken up to one loan time before it, so at most depth + refill
    x (window + loan time) requests run in any window. That is at most the usable part of the bound.
    """
    span = bounds.window + LOAN_SECONDS
    allowed = (rate * bounds.window + burst) * (1 + bounds.excess) + bounds.slack
    cap = _USABLE_FRACTION * allowed
    extra = cap - (rate * span + burst)
    if extra >= 0:
        return burst + extra / 2, rate + extra / 2 / span
    depth = min(max(burst + extra, 1.0), cap)
    return depth, (cap - depth) / span


class _Bucket:
    """A team's tokens at a holder.

    Attributes:
        at: Time in seconds of the level.
        epoch: Value of the owner's epoch for which depth and refill were computed.
        promised_at: Time in seconds at which the tokens for all refused asks have come.
    """

    __slots__ = ("at", "depth", "epoch", "level", "promised_at", "refill")

    def __init__(self, depth: float, refill: float, at: float, level: float) -> None:
        self.depth = depth
        self.refill = refill
        self.at = at
        self.level = level
        self.epoch = -1
        self.promised_at = at

    def advance(self, now: float) -> None:
        """Add the tokens that have come since the last call."""
        if now > self.at:
            self.level = min(self.depth, self.level + (now - self.at) * self.refill)
            self.at = now

    def wait(self, now: float) -> float:
        """Return the seconds after which a refused ask should come again.

        Each ask is told a later time, one token apart, so that the asks together are about as many
        as the tokens.
        """
        if self.refill <= 0:
            return _MAX_WAIT
        needed = min(1.0, self.depth)
        ready = now + max(0.0, needed - self.level) / self.refill
        self.promised_at = max(ready, min(self.promised_at + needed / self.refill, now + _MAX_WAIT))
        return min(max(self.promised_at - now, _MIN_WAIT), _MAX_WAIT)


@dataclass(slots=True, frozen=True)
class Ask:
    """A request for tokens to be sent to a holder.

    Attributes:
        holder: Name of the holder.
        number: Number that its answer repeats.
        tenant: Name of the team.
        tokens: Tokens wanted.
    """

    holder: str
    number: int
    tenant: str
    tokens: float


@dataclass(slots=True, frozen=True)
class Loan:
    """A holder's answer to an ask.

    Attributes:
        tokens: Tokens lent, possibly none.
        wait: Seconds until the holder has the next one, if it lent fewer than wanted.
        left: Tokens that it still has.
    """

    tokens: float
    wait: float
    left: float = 0.0


class _SentAsk:
    __slots__ = ("at", "holder", "tenant", "tokens")

    def __init__(self, holder: str, tenant: str, tokens: float, at: float) -> None:
        self.holder = holder
        self.tenant = tenant
        self.tokens = tokens
        self.at = at


class _HolderState:
    """What this instance knows about one holder's tokens of one team.

    Attributes:
        free_at: Time in seconds from which it may be asked.
        is_empty: Whether it is not asked before that because it had no tokens.
        left: Fraction of a token that it still had.
    """

    __slots__ = ("_allowance", "_asked_at", "free_at", "is_empty", "left")

    def __init__(self) -> None:
        self._allowance = ASKS_AT_ONCE
        self._asked_at = float("-inf")
        self.free_at = float("-inf")
        self.is_empty = False
        self.left = 0.0

    def may_ask(self, now: float) -> bool:
        """Return whether the holder may have tokens and has not been asked too often."""
        return now >= self.free_at and self._allowed(now) >= 1

    def may_ask_fraction(self, now: float) -> bool:
        """Return whether the holder is paused with a fraction of a token left."""
        return self.left > 0 and now < self.free_at and self._allowed(now) >= 1

    def asked(self, now: float) -> None:
        """Record an ask."""
        self._allowance, self._asked_at = self._allowed(now) - 1, now
        self.left = 0.0

    def pause(self, until: float, *, is_empty: bool) -> None:
        """Ask the holder no more until a given time."""
        self.free_at, self.is_empty = until, is_empty

    def _allowed(self, now: float) -> float:
        if self._asked_at == float("-inf"):
            return self._allowance
        return min(ASKS_AT_ONCE, self._allowance + (now - self._asked_at) * ASKS_PER_SECOND)


class _Borrower:
    """The loans of one team and what is known about the holders.

    Attributes:
        loans: Expiry in seconds and tokens of each loan.
        pending: Numbers of the asks that have no answer yet.
        rotation: Index of the holder that is asked next.
    """

    __slots__ = ("_expected", "_slot", "_slot_count", "holders", "loans", "pending", "rotation")

    def __init__(self, rotation: int) -> None:
        self.loans: deque[list[float]] = deque()
        self.holders: dict[str, _HolderState] = {}
        self.pending: dict[int, _SentAsk] = {}
        self.rotation = rotation
        self._slot = -1
        self._slot_count = 0
        self._expected = 0

    def count_request(self, now: float) -> None:
        """Count a request, in slots as long as a loan."""
        slot = int(now / LOAN_SECONDS)
        if slot != self._slot:
            self._expected = self._slot_count if slot == self._slot + 1 else 0
            self._slot, self._slot_count = slot, 0
        self._slot_count += 1

    @property
    def advance_tokens(self) -> int:
        """Return how many tokens to ask for in advance."""
        return self._expected // 2 if self._expected >= _MIN_EXPECTED else 0

    def valid_tokens(self, now: float) -> float:
        """Return the tokens of loans that have not expired, and drop the others."""
        loans = self.loans
        while loans and loans[0][0] <= now:
            loans.popleft()
        return sum(loan[1] for loan in loans)

    def spend(self, tokens: float) -> float:
        """Spend tokens of the oldest loans; return how many of them are missing."""
        loans = self.loans
        while loans and tokens > 0:
            used = min(tokens, loans[0][1])
            tokens -= used
            loans[0][1] -= used
            if loans[0][1] <= _EPSILON:
                loans.popleft()
        return tokens

    def add(self, tokens: float, expires: float) -> None:
        """Add a loan."""
        self.loans.append([expires, tokens])
        if len(self.loans) > 1 and self.loans[-2][0] > expires:
            self.loans = deque(sorted(self.loans))


class Quotas:
    """The tokens of all teams at one instance: its own buckets, and loans from other holders.

    Usage:
        if not quotas.take(team, now):
            ask = quotas.ask(team, wanted, now)     # to be sent to `ask.holder`
            ...
            quotas.granted(number, tokens, wait, now)

    Args:
        own: Name of this instance.
        role: Decides which part of each quota the buckets here hold.
        bounds: How many requests may run.
        first_number: Number of the first ask. Processes of the same instance should differ in it,
            so that none takes an answer to an earlier one.
    """

    __slots__ = (
        "_asks",
        "_borrowers",
        "_bounds",
        "_buckets",
        "_epoch",
        "_number",
        "_own",
        "_part",
        "_role",
        "_sizes",
        "_since",
    )

    def __init__(
        self, own: str, role: HolderRole, bounds: QuotaBounds, first_number: int = 0
    ) -> None:
        self._own = own
        self._role = role
        self._bounds = bounds
        self._number = first_number
        self._sizes: dict[str, tuple[float, float]] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._borrowers: dict[str, _Borrower] = {}
        self._asks: dict[int, _SentAsk] = {}
        self._epoch = 0
        self._part = 0.0
        self._since = float("-inf")

    @property
    def part(self) -> float:
        """Return the part of each quota that the buckets here hold."""
        return self._part

    @property
    def has_limits(self) -> bool:
        """Return whether any team has a limit."""
        return bool(self._sizes)

    def is_limited(self, team: str) -> bool:
        """Return whether a team has a limit in the version in force."""
        return team in self._sizes

    def use(self, tenants: Iterable[Tenant], bounds: QuotaBounds, now: float) -> None:
        """Apply changed limits; buckets keep their level, cut to the new depth."""
        self._bounds = bounds
        self._role.set_window(bounds.window, now)
        self._sizes = {
            tenant.name: bucket_size(tenant.rate, tenant.burst, bounds)
            for tenant in tenants
            if tenant.rate > 0
        }
        self._epoch += 1
        for team in self._borrowers.keys() - self._sizes.keys():
            del self._borrowers[team]
        # A team that comes back must find the level that it left, so only full buckets are dropped.
        for team in self._buckets.keys() - self._sizes.keys():
            bucket = self._buckets[team]
            bucket.advance(now)
            if bucket.level >= bucket.depth:
                del self._buckets[team]

    def look(self, now: float) -> bool:
        """Apply what the role decides; return whether the part held here has changed."""
        self._role.look(now)
        if self._role.active_since != self._since:
            self._since = self._role.active_since
            self._buckets.clear()
        part, before = self._role.part, self._part
        if part != before:
            self._part = part
            self._epoch += 1
        return part != before

    def take(self, team: str, now: float) -> bool:
        """Take one token from a loan or an own bucket; return whether there was one."""
        borrower = self._borrowers.get(team)
        if borrower is not None and borrower.loans:
            lent = borrower.valid_tokens(now)
            if lent >= 1 - _EPSILON:
                borrower.spend(1.0)
                return True
        else:
            lent = 0.0
        if self._part == 0.0:
            return False
        bucket = self._bucket(team, now)
        if bucket is None or bucket.level + lent < 1 - _EPSILON:
            return False
        bucket.level -= borrower.spend(1.0) if lent else 1.0
        return True

    def give_back(self, team: str, expires: float, now: float) -> bool:
        """Return a token that was not used; return whether it is still valid.

        It keeps the limit that it got when it was taken. In the bucket, it could be taken after the
        bucket was refilled, and one request more than depth and refill allow would run in a window.

        Args:
            team: Name of the team.
            expires: Time in seconds until which it may be used: one loan time after it was taken.
            now: Current time in seconds.
        """
        if now >= expires or team not in self._sizes:
            return False
        self._borrower(team).add(1.0, expires)
        return True

    def lend(self, team: str, tokens: float, now: float) -> Loan:
        """Take tokens out of the bucket here for another instance.

        Args:
            team: Name of the team.
            tokens: Tokens wanted; a fraction of one only if it is less than one.
            now: Current time in seconds.
        """
        bucket = self._bucket(team, now) if self._part > 0 else None
        if bucket is None:
            return Loan(0.0, _NO_HOLDER_WAIT, 0.0)
        if not (0 < tokens < math.inf):
            return Loan(0.0, _MIN_WAIT, 0.0)
        if tokens < 1:
            lent = min(bucket.level, tokens)
        else:
            # Whole tokens: fractions would expire at instances that don't find the rest.
            lent = float(min(math.floor(bucket.level), math.ceil(tokens)))
        bucket.level -= lent
        return Loan(lent, 0.0 if lent >= tokens else bucket.wait(now), bucket.level)

    def arrived(self, team: str, now: float) -> None:
        """Count a request, from which the tokens to ask for in advance are estimated."""
        self._borrower(team).count_request(now)

    def ask(self, team: str, waiting: int, now: float) -> Ask | None:
        """Return whom to ask for tokens now; None if enough are pending or nobody can be asked.

        Args:
            team: Name of the team.
            waiting: Requests that wait for a token.
            now: Current time in seconds.
        """
        borrower = self._borrower(team)
        self._drop_unanswered(borrower, now)
        pending = borrower.pending.values()
        coming = sum(sent.tokens for sent in pending if now - sent.at < PENDING_SECONDS)
        missing = waiting - borrower.valid_tokens(now) - coming
        if missing <= _EPSILON:
            return None
        holder, tokens = self._next_holder(borrower, now), missing + borrower.advance_tokens
        if holder is None and self._has_small_buckets(team):
            holder, tokens = self._next_fraction(borrower, missing, now)
        elif holder is not None:
            # Less than one would ask for a fraction.
            tokens = max(1.0, tokens)
        if holder is None:
            return None
        borrower.holders[holder].asked(now)
        self._number += 1
        sent = _SentAsk(holder, team, tokens, now)
        borrower.pending[self._number] = self._asks[self._number] = sent
        return Ask(holder, self._number, team, sent.tokens)

    def granted(self, number: int, loan: Loan, now: float) -> str | None:
        """Take in an answer; late, repeated and unknown ones have no effect.

        Args:
            number: Number of the ask.
            loan: What the holder lent.
            now: Current time in seconds.

        Returns:
            The name of the team; None if the answer has no effect.
        """
        found = self._end_ask(number)
        if found is None:
            return None
        borrower, sent = found
        if loan.tokens < sent.tokens:
            state = borrower.holders[sent.holder]
            state.pause(now + min(max(loan.wait, _MIN_WAIT), _MAX_WAIT), is_empty=True)
            state.left = min(loan.left, 1.0) if sent.tokens >= 1 else 0.0
        expires = sent.at + LOAN_SECONDS
        if loan.tokens > 0 and now < expires:
            borrower.add(min(loan.tokens, math.ceil(sent.tokens)), expires)
        return sent.tenant

    def failed(self, number: int, now: float) -> None:
        """Record that an ask could not be sent, or that the link to its holder was lost."""
        found = self._end_ask(number)
        if found is not None:
            borrower, sent = found
            borrower.holders[sent.holder].pause(now + _NO_HOLDER_WAIT, is_empty=False)

    def lost(self, holder: str, now: float) -> None:
        """Record that the link to a holder was lost: what it was asked for does not come."""
        for number in [n for n, sent in self._asks.items() if sent.holder == holder]:
            self.failed(number, now)

    def is_pending(self, team: str, now: float) -> bool:
        """Return whether an answer may still come, or a holder may be asked soon."""
        borrower = self._borrowers.get(team)
        if borrower is None:
            return False
        if any(now - sent.at < _ANSWER_SECONDS for sent in borrower.pending.values()):
            return True
        return any(
            (state := borrower.holders.get(name)) is None or now >= state.free_at
            for name in self._others()
        )

    def retry_after(self, team: str, now: float) -> float | None:
        """Return the seconds until a holder has a token; None if none said that it is empty."""
        borrower = self._borrower(team)
        waits = [
            state.free_at - now
            for name in self._others()
            if (state := borrower.holders.get(name)) is not None
            and state.is_empty
            and state.free_at > now
        ]
        bucket = self._bucket(team, now) if self._part > 0 else None
        if bucket is not None and bucket.refill > 0:
            waits.append(max(0.0, 1 - bucket.level) / bucket.refill)
        return max(min(waits), _MIN_WAIT) if waits else None

    def _end_ask(self, number: int) -> tuple[_Borrower, _SentAsk] | None:
        """Remove an ask; return it with its team's borrower, None if it has ended before."""
        sent = self._asks.pop(number, None)
        borrower = None if sent is None else self._borrowers.get(sent.tenant)
        if borrower is None or borrower.pending.pop(number, None) is None:
            return None
        return borrower, sent

    def _others(self) -> Collection[str]:
        return self._role.holders - {self._own}

    def _next_holder(self, borrower: _Borrower, now: float) -> str | None:
        """Return the holder to ask next; holders take turns, so that they empty alike."""
        names = sorted(self._others())
        busy = {sent.holder for sent in borrower.pending.values()}
        for step in range(len(names)):
            name = names[(borrower.rotation + step) % len(names)]
            state = borrower.holders.get(name)
            if state is None:
                state = borrower.holders[name] = _HolderState()
            if name not in busy and state.may_ask(now):
                borrower.rotation = (borrower.rotation + step + 1) % len(names)
                return name
        return None

    def _has_small_buckets(self, team: str) -> bool:
        size = self._sizes.get(team)
        return size is not None and size[0] < _SMALL_DEPTH * len(self._role.holders)

    def _next_fraction(
        self, borrower: _Borrower, missing: float, now: float
    ) -> tuple[str | None, float]:
        """Return a holder and the fraction of a token to ask it for, None if they don't add up.

        While holders only lent whole tokens, half a token lay unused at each of 8 holders, and a
        team with 4 requests a second, within its limit, was refused 1.2 % of them.
        """
        needed = missing % 1 or 1.0
        states = borrower.holders
        found = [n for n in self._others() if n in states and states[n].may_ask_fraction(now)]
        if not found or sum(states[name].left for name in found) < needed - _EPSILON:
            return None, 0.0
        name = max(found, key=lambda n: (states[n].left, n))
        return name, min(needed, states[name].left, _LARGEST_FRACTION)

    def _drop_unanswered(self, borrower: _Borrower, now: float) -> None:
        for number, sent in list(borrower.pending.items()):
            if now - sent.at >= LOAN_SECONDS:
                self._end_ask(number)
            elif now - sent.at >= _ANSWER_SECONDS:
                state = borrower.holders[sent.holder]
                if now >= state.free_at:
                    state.pause(sent.at + _SILENT_SECONDS, is_empty=False)

    def _borrower(self, team: str) -> _Borrower:
        borrower = self._borrowers.get(team)
        if borrower is None:
            # Instances begin at different holders.
            rotation = sum(self._own.encode()) + len(self._borrowers)
            borrower = self._borrowers[team] = _Borrower(rotation)
        return borrower

    def _bucket(self, team: str, now: float) -> _Bucket | None:
        """Return a team's bucket with its present level; None if the team has no limit."""
        bucket = self._buckets.get(team)
        if bucket is None or bucket.epoch != self._epoch:
            bucket = self._renew(team, bucket, now)
            if bucket is None:
                return None
        bucket.advance(now)
        return bucket

    def _renew(self, team: str, bucket: _Bucket | None, now: float) -> _Bucket | None:
        size = self._sizes.get(team)
        if size is None:
            return None
        depth, refill = size[0] * self._part, size[1] * self._part
        if bucket is None:
            level = depth if self._role.starts_full else 0.0
            bucket = self._buckets[team] = _Bucket(depth, refill, self._since, level)
        else:
            bucket.advance(now)
            bucket.depth, bucket.refill = depth, refill
            bucket.level = min(bucket.level, depth)
        bucket.epoch = self._epoch
        return bucket
