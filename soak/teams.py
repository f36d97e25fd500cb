"""Teams with keys and quotas in the soak, and which key was valid at which time."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

# Every key contains this, so that a searcher can tell one wherever it appears.
KEY_MARK = "soak-key-"
NOISY = "noisy"
# The noisy team has this many callers for each one of another team.
NOISY_CALLERS = 10
# Of all requests, this share carries a key that was removed.
_REMOVED_SHARE = 0.2
_KEYS_PER_TEAM = 2


@dataclass(slots=True, frozen=True)
class TeamBounds:
    """The bounds that the instances' settings contain.

    Attributes:
        revoke: Seconds after which a removed key is not served.
        apply: Seconds after which a version is in force.
        window: Length in seconds of the windows in which requests are counted.
        excess: Accepted excess over the quota, as a fraction.
        slack: Accepted excess over the quota, in requests of one window.
    """

    revoke: float = 5.0
    apply: float = 5.0
    window: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def to_settings(self) -> dict[str, Any]:
        """Return the fields of `bounds` in the settings."""
        return {
            "strictRevoke": True,
            "revokeMs": int(self.revoke * 1000),
            "configApplyMs": int(self.apply * 1000),
            "quotaWindowS": self.window,
            "quotaExcess": self.excess,
            "quotaSlack": self.slack,
        }


@dataclass(slots=True, frozen=True)
class Team:
    """A team and its quota in requests per second and requests."""

    name: str
    rate: float
    burst: float

    def allowed(self, bounds: TeamBounds) -> float:
        """Return how many requests may run in one window."""
        quota = self.rate * bounds.window + self.burst
        return quota * (1.0 + bounds.excess) + bounds.slack


@dataclass(slots=True)
class Key:
    """A key and when the store had it, in monotonic seconds.

    Attributes:
        text: The key.
        team: Name of its team.
        added_at: When the store had accepted it.
        removing_at: When the write that removed it was begun; infinite before.
        removed_at: When the store had accepted its removal; infinite before.
    """

    text: str
    team: str
    added_at: float
    removing_at: float = float("inf")
    removed_at: float = float("inf")


class KeyRing:
    """The keys of all teams, and those that they had.

    Attributes:
        teams: The teams by name.
        keys: All keys by text, removed ones included.
    """

    def __init__(self, teams: tuple[Team, ...], bounds: TeamBounds) -> None:
        self.bounds = bounds
        self.teams = {team.name: team for team in teams}
        self.keys: dict[str, Key] = {}
        self._replacing = threading.Lock()

    @classmethod
    def of_three(cls) -> "KeyRing":
        """Return two teams of which each caller is served, and one with a quota below its use."""
        teams = (Team("first", 100, 50), Team("second", 100, 50), Team(NOISY, 40, 20))
        ring = cls(teams, TeamBounds())
        for team in teams:
            for _ in range(_KEYS_PER_TEAM):
                ring.add(team.name, time.monotonic())
        return ring

    def add(self, team: str, now: float) -> Key:
        """Add a key to a team."""
        text = f"{KEY_MARK}{team}-{len(self.keys)}"
        key = self.keys[text] = Key(text, team, now)
        return key

    def of(self, team: str) -> list[Key]:
        """Return a team's keys that were not removed, oldest first."""
        found = list(self.keys.values())
        return [k for k in found if k.team == team and k.removing_at == float("inf")]

    def replace(self, team: str, write: Callable[[], None]) -> None:
        """Remove a team's oldest key and add another one.

        Args:
            team: The team.
            write: Writes the configuration to the store.
        """
        with self._replacing:
            removed = self.of(team)[0]
            removed.removing_at = time.monotonic()
            added = self.add(team, float("inf"))
            write()
            removed.removed_at = added.added_at = time.monotonic()

    def choose(self, team: str, rng: Random) -> str:
        """Return a key of a team for a request; some were removed."""
        removed = [k for k in list(self.keys.values()) if k.team == team and k not in self.of(team)]
        if removed and rng.random() < _REMOVED_SHARE:
            return rng.choice(removed).text
        return rng.choice(self.of(team)).text

    def is_good(self, key: str, begun: float, ended: float) -> bool:
        """Return whether every instance must accept a key in the whole of a time."""
        found = self.keys[key]
        return found.added_at + self.bounds.apply < begun and ended < found.removing_at

    def to_configuration(self) -> list[dict[str, Any]]:
        """Return the field `tenants` of the configuration."""
        return [
            {
                "name": team.name,
                "apiKeys": [key.text for key in self.of(team.name)],
                "ratePerS": team.rate,
                "burst": team.burst,
            }
            for team in self.teams.values()
        ]
