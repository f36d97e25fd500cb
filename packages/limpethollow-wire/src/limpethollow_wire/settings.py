"""Settings of the daemon, read from TOML and checked before anything starts."""

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from limpethollow_wire.exceptions import SettingsError
from limpethollow_wire.limits import MAX_NAME_LENGTH

T = TypeVar("T")

_MIN_KEY_LENGTH = 16
_MAX_THREADS = 512
_SHORT_KEY = f"is shorter than {_MIN_KEY_LENGTH} characters; set a longer random key"
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this instance is."""

    id: str
    failure_domain: str


class ListenerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the instance listens; port 0 takes a free port, printed in the ready line.

    Attributes:
        host: IP number to bind.
        caller_port: HTTP for callers.
        operator_port: HTTP for operators.
        peer_port: Websockets for other instances.
        threads: Requests from callers handled at once.
    """

    host: str = "127.0.0.1"
    caller_port: int = 0
    operator_port: int = 0
    peer_port: int = 0
    threads: int = 48


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's object API.

    Attributes:
        address: `host:port`.
        timeout: Seconds for one call.
        watch_timeout: Seconds that one watch call may wait; a watch gone silent is replaced
            after this and `timeout` together.
    """

    address: str
    timeout: float = 2.0
    watch_timeout: float = 4.0


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a fresh instance finds others while the platform, which lists them, is down.

    Attributes:
        seeds: `host:port` of some instances' peer listeners; dead ones do no harm.
    """

    seeds: tuple[str, ...] = ()


class KeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keys of the two inner listeners; callers' keys are part of each service."""

    operator: str
    peer: str


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on a graceful shutdown.

    Attributes:
        linger: Seconds to stay useful after the last route answer that names this instance; at
            least the longest route_ttl in force is waited where this is lower.
        bound: Seconds after which the instance exits whatever is still open.
    """

    linger: float = 0.0
    bound: float = 30.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging: level name."""

    level: str = "INFO"


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    keys: KeySettings
    listeners: ListenerSettings = ListenerSettings()
    peers: PeerSettings = PeerSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()

    @classmethod
    def load(cls, path: str | Path) -> "NodeSettings":
        """Read and check a settings file.

        Raises:
            SettingsError: The file can't be read or a key is wrong; the message names both.
        """
        settings = load_toml(path, cls)
        settings._check(path)
        return settings

    def _check(self, path: str | Path) -> None:
        for holds, key, wanted in self._rules():
            if not holds:
                raise SettingsError(f"{path}: '{key}' {wanted}.")

    def _rules(self) -> list[tuple[bool, str, str]]:
        """Return what must hold, the key concerned, and what is wrong where it does not."""
        keys, where = self.keys, self.listeners
        ports = ("caller_port", "operator_port", "peer_port")
        host, _, port = self.platform.address.rpartition(":")
        id_is_plain = bool(self.instance.id) and "." not in self.instance.id
        return [
            (
                id_is_plain,
                "instance.id",
                "is empty or has a dot, at which booking tokens are split",
            ),
            (len(self.instance.id) <= MAX_NAME_LENGTH, "instance.id", "has over 64 characters"),
            (bool(self.instance.failure_domain), "instance.failure_domain", "is empty"),
            (len(keys.operator) >= _MIN_KEY_LENGTH, "keys.operator", _SHORT_KEY),
            (len(keys.peer) >= _MIN_KEY_LENGTH, "keys.peer", _SHORT_KEY),
            *(
                (0 <= getattr(where, name) <= 65535, f"listeners.{name}", "must be 0 to 65535")
                for name in ports
            ),
            (1 <= where.threads <= _MAX_THREADS, "listeners.threads", "must be 1 to 512"),
            (bool(host) and port.isdigit(), "platform.address", "must be host:port"),
            (self.platform.timeout > 0, "platform.timeout", "must be above 0"),
            (self.platform.watch_timeout > 0, "platform.watch_timeout", "must be above 0"),
            (self.shutdown.linger >= 0, "shutdown.linger", "must be 0 or more"),
            (self.shutdown.bound > 0, "shutdown.bound", "must be above 0"),
            (self.log.level in _LEVELS, "log.level", f"must be one of {', '.join(_LEVELS)}"),
        ]


def load_toml(path: str | Path, kind: type[T]) -> T:
    """Read a TOML file into a typed object.

    Raises:
        SettingsError: The file is missing, is not TOML, or a key is wrong or not known.
    """
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(data, kind)
    except OSError as error:
        raise SettingsError(
            f"{path}: can't be read ({error.strerror}).", remedy="Check the path and its rights."
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML ({error}).") from None
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}.") from None
