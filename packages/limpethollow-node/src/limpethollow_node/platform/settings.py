"""The settings file that the platform gives to each process."""

import os
from pathlib import Path

import msgspec

from limpethollow_wire.exceptions import SettingsError

VARIABLE = "LIMPETHOLLOW_SETTINGS"
# Longest time that a removed searcher may be kept: its entry may be back within about two seconds
# where it lapsed only because the store was away.
_LAPSE_SECONDS = 2.2
# Part of the platform's rules with which operators may evacuate failure domains.
_EVACUATIONS = "places"
# What is kept back of the time within which a leaving searcher must get no more requests.
_DRAIN_RESERVE = 0.8


class Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on, as host and port; missing where the process doesn't serve them."""

    front: str
    ready: str
    directory: str


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """What the instance may use.

    Attributes:
        cpu_share: Share of a core.
        cores: How many times as fast as one core that share runs.
        memory_mb: Memory of a process in megabytes.
        max_fds: Descriptors of a process.
        link_mbps: Bandwidth of its network.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 256
    max_fds: int = 1024
    link_mbps: float = 1000


class Bounds(msgspec.Struct, frozen=True, rename="camel"):
    """Bounds that the platform holds the system to; times in the unit of the name."""

    drain_ms: float = 3000
    grace_s: float = 6
    config_apply_ms: float = 3000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_budget_slack: float = 50
    ttl_max_s: float = msgspec.field(default=5, name="ttl_max_s")


class Platform(msgspec.Struct, frozen=True, rename="camel"):
    """The platform's store.

    Attributes:
        addr: Its address.
        writes_per_s: Writing calls a second that all instances together may make.
        reads_per_s: Reading calls a second that all instances together may make.
    """

    addr: str
    writes_per_s: float = 400
    reads_per_s: float = 2000


class PlatformSettings(msgspec.Struct, frozen=True, rename="camel"):
    """All settings that this system uses; others are ignored, as new ones may come.

    Attributes:
        node_name: Name of the instance; kept across restarts.
        ip: Its address.
        zone: Its failure domain.
        listen: Addresses to listen on.
        internal_port_range: First and last port that instances may use among themselves.
        limits: What the instance may use.
        bounds: Bounds to keep.
        platform: The store.
        seeds: Addresses of a few instances.
        bootstrap: Whether the whole system starts for the first time.
        contracts: Parts of the platform's rules that are in force; empty where it doesn't say.
    """

    node_name: str
    ip: str
    zone: str
    listen: Listen
    internal_port_range: tuple[int, int]
    platform: Platform
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    contracts: frozenset[str] = frozenset()

    @property
    def follows_evacuations(self) -> bool:
        """Return whether operators may evacuate failure domains here."""
        return not self.contracts or _EVACUATIONS in self.contracts

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Return the IP addresses of instances that may be asked before any is known."""
        return tuple(split_address(seed)[0] for seed in self.seeds)

    @property
    def removal_delay(self) -> float:
        """Return the seconds for which a searcher without an entry is still a last choice."""
        return max(0.0, min(_LAPSE_SECONDS, self.bounds.drain_ms / 1000 - _DRAIN_RESERVE))


def settings_path() -> Path:
    """Return where the settings file is.

    Raises:
        SettingsError: The environment doesn't say.
    """
    path = os.environ.get(VARIABLE)
    if not path:
        raise SettingsError(
            f"The environment has no {VARIABLE}.", remedy="Set it to the settings file's path."
        )
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises:
        SettingsError: The file can't be read, or a field is missing or of another type.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    except OSError as error:
        raise SettingsError(f"{path}: can't be read ({error}).") from None
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}.") from None


class SettingsFile:
    """The settings file, which may change with a signal or without any.

    Args:
        path: Where it is.
    """

    __slots__ = ("_path", "_seen")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._seen = self._stamp()

    def changed(self) -> bool:
        """Return whether the file is another one than at the last call."""
        stamp = self._stamp()
        changed, self._seen = stamp != self._seen, stamp
        return changed

    def read(self) -> PlatformSettings:
        """Read and check the file.

        Raises:
            SettingsError: It can't be used.
        """
        return load_settings(self._path)

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
