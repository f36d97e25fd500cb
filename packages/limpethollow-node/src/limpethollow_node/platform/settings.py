"""The settings file that the platform gives to each process."""

import os
from pathlib import Path

import msgspec

from limpethollow_wire.exceptions import SettingsError

SETTINGS_VARIABLE = "LIMPETHOLLOW_SETTINGS"
# Maximum time for which a removed searcher is kept. An entry that lapsed only because the store was
# unavailable may reappear within about two seconds.
_MAX_REMOVAL_DELAY = 2.2
# Of `limits.maxFds`, descriptors that are reserved for files.
FILE_DESCRIPTORS = 200
# The contract under which operators may evacuate failure domains.
_EVACUATION_CONTRACT = "places"
# Margin in seconds subtracted from the time after which a draining searcher must get no requests.
_DRAIN_MARGIN = 0.8


class Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on, as host and port."""

    front: str
    ready: str
    directory: str

    def __post_init__(self) -> None:
        """Reject addresses that can't be split."""
        for address in (self.front, self.ready, self.directory):
            split_address(address)


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Resource limits of the instance.

    Attributes:
        cpu_share: Share of a core.
        cores: Speed of that share relative to one core.
        memory_mb: Memory per process in megabytes.
        max_fds: File descriptors per process.
        link_mbps: Network bandwidth in Mbit/s.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 256
    max_fds: int = 1024
    link_mbps: float = 1000


class Bounds(msgspec.Struct, frozen=True, rename="camel"):
    """Bounds that the platform requires the system to keep.

    The suffix of a field's name gives its unit of time.
    """

    drain_ms: float = 3000
    grace_s: float = 6
    config_apply_ms: float = 3000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_budget_slack: float = 50
    strict_revoke: bool = False
    revoke_ms: float = 5000
    quota_window_s: float = 5
    quota_excess: float = 0.0
    quota_slack: float = 0.0
    ttl_max_s: float = msgspec.field(default=5, name="ttl_max_s")


class Platform(msgspec.Struct, frozen=True, rename="camel"):
    """The platform's store.

    Attributes:
        addr: Its address.
        writes_per_s: Write calls per second allowed for all instances together.
        reads_per_s: Read calls per second allowed for all instances together.
    """

    addr: str
    writes_per_s: float = 400
    reads_per_s: float = 2000


class PlatformSettings(msgspec.Struct, frozen=True, rename="camel"):
    """All settings that this system uses; unknown ones are ignored for forward compatibility.

    Attributes:
        node_name: Name of the instance; kept across restarts.
        ip: IP address of the instance.
        zone: Failure domain of the instance.
        listen: Addresses to listen on.
        internal_port_range: First and last port for traffic between instances.
        limits: Resource limits of the instance.
        bounds: Bounds that the system must keep.
        platform: The store.
        seeds: Addresses of a few instances to contact at the start.
        bootstrap: Whether the whole system starts for the first time.
        contracts: Contracts of the platform that are in force; empty if unspecified.
        region: Region of the instance; empty if unspecified.
        zones: Region of each failure domain.
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
    region: str = ""
    zones: dict[str, str] = {}

    @property
    def follows_evacuations(self) -> bool:
        """Return whether operators may evacuate failure domains on this platform."""
        return not self.contracts or _EVACUATION_CONTRACT in self.contracts

    @property
    def peer_ports(self) -> range:
        """Return the ports on which other instances may be served, in order of preference."""
        first, last = self.internal_port_range
        return range(first, max(first + 1, last))

    @property
    def metrics_port(self) -> int:
        """Return the port on which metrics are served."""
        return self.internal_port_range[1]

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return where to reach instances before any is known: their preferred peer ports."""
        hosts = {seed.rpartition(":")[0] for seed in self.seeds}
        port = self.peer_ports.start
        return tuple(f"{host}:{port}" for host in sorted(hosts - {self.ip}))

    @property
    def removal_delay(self) -> float:
        """Return for how many seconds a searcher without an entry is kept as a last resort."""
        return max(0.0, min(_MAX_REMOVAL_DELAY, self.bounds.drain_ms / 1000 - _DRAIN_MARGIN))


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"The environment variable {SETTINGS_VARIABLE} is not set.",
            remedy="Set it to the path of the settings file.",
        )
    return Path(path)


class IncompleteSettingsError(SettingsError):
    """The settings file is absent or not valid JSON, as it may be while it is written."""


def load_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises:
        IncompleteSettingsError: The file can't be read or is not valid JSON.
        SettingsError: A field is missing or has the wrong type.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    except OSError as error:
        raise IncompleteSettingsError(f"{path}: can't be read ({error}).") from None
    except (msgspec.ValidationError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}.") from None
    except msgspec.MsgspecError as error:
        raise IncompleteSettingsError(f"{path}: {error}.") from None


class SettingsFile:
    """The settings file; detects changes that come without a reload signal.

    Args:
        path: Path of the file.
    """

    __slots__ = ("_path", "_last_stamp")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._last_stamp = self._stamp()

    def changed(self) -> bool:
        """Return whether the file has changed since the last call."""
        stamp = self._stamp()
        changed, self._last_stamp = stamp != self._last_stamp, stamp
        return changed

    def read(self) -> PlatformSettings:
        """Read and check the file.

        Raises:
            SettingsError: The file can't be read or is invalid.
        """
        return load_settings(self._path)

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises:
        ValueError: It has no valid port.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5 and int(port) < 65536):
        raise ValueError(f"The address {address!r} is not HOST:PORT")
    return host, int(port)
