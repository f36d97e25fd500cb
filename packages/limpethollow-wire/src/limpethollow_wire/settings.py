"""Settings of the daemon, read from a TOML file and validated before startup."""

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from limpethollow_wire.exceptions import SettingsError
from limpethollow_wire.limits import MAX_NAME_LENGTH

T = TypeVar("T")

_MIN_KEY_LENGTH = 16
_MAX_THREADS = 512
_MIN_CONNECTIONS = 64
_MAX_CONNECTIONS = 65536
_SHORT_KEY = f"is shorter than {_MIN_KEY_LENGTH} characters; set a longer random key"
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and failure domain of the instance."""

    id: str
    failure_domain: str


class ListenerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listener addresses; port 0 selects a free port, which is printed in the ready line.

    Attributes:
        host: IP address to bind.
        caller_port: HTTP port for callers.
        operator_port: HTTP port for operators.
        peer_port: WebSocket port for other instances.
        threads: Maximum number of caller requests handled concurrently.
        connections: Maximum number of connections to all listeners together; half of the process's
            limit on open files where that is less.
    """

    host: str = "127.0.0.1"
    caller_port: int = 0
    operator_port: int = 0
    peer_port: int = 0
    threads: int = 48
    connections: int = 4096


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connection settings for the platform's object API.

    Attributes:
        address: `host:port`.
        timeout: Timeout of a call in seconds.
        watch_timeout: Seconds that a watch call may wait for changes; a watch without a response
            is replaced after `watch_timeout` plus `timeout`.
    """

    address: str
    timeout: float = 2.0
    watch_timeout: float = 4.0


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a new instance discovers peers while the platform, which lists them, is down.

    Attributes:
        seeds: `host:port` of peer listeners of some instances; unreachable ones are harmless.
    """

    seeds: tuple[str, ...] = ()


class KeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keys of the operator and peer listeners; caller keys are configured per service."""

    operator: str
    peer: str


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits of a graceful shutdown.

    Attributes:
        linger: Seconds to keep serving after the last route answer that contains this instance; the
            longest active route_ttl is used if it is higher.
        bound: Seconds after which the instance exits even if requests are still open.
    """

    linger: float = 0.0
    bound: float = 30.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log level: `DEBUG`, `INFO`, `WARNING` or `ERROR`."""

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
        """Read and validate a settings file.

        Raises:
            SettingsError: The file can't be read or a setting is invalid; the message names the
                file and the setting.
        """
        settings = load_toml(path, cls)
        settings._check(path)
        return settings

    def _check(self, path: str | Path) -> None:
        for valid, key, problem in self._rules():
            if not valid:
                raise SettingsError(f"{path}: '{key}' {problem}.")

    def _rules(self) -> list[tuple[bool, str, str]]:
        """Return each condition with its setting and the problem reported if it is false."""
        keys, listeners = self.keys, self.listeners
        ports = ("caller_port", "operator_port", "peer_port")
        host, _, port = self.platform.address.rpartition(":")
        id_is_plain = bool(self.instance.id) and "." not in self.instance.id
        return [
            (
                id_is_plain,
                "instance.id",
                "is empty or has a dot, which separates the parts of booking tokens",
            ),
            (
                len(self.instance.id) <= MAX_NAME_LENGTH,
                "instance.id",
                "is longer than 64 characters",
            ),
            (bool(self.instance.failure_domain), "instance.failure_domain", "is empty"),
            (len(keys.operator) >= _MIN_KEY_LENGTH, "keys.operator", _SHORT_KEY),
            (len(keys.peer) >= _MIN_KEY_LENGTH, "keys.peer", _SHORT_KEY),
            *(
                (0 <= getattr(listeners, name) <= 65535, f"listeners.{name}", "must be 0 to 65535")
                for name in ports
            ),
            (1 <= listeners.threads <= _MAX_THREADS, "listeners.threads", "must be 1 to 512"),
            (
                _MIN_CONNECTIONS <= listeners.connections <= _MAX_CONNECTIONS,
                "listeners.connections",
                f"must be {_MIN_CONNECTIONS} to {_MAX_CONNECTIONS}",
            ),
            (bool(host) and port.isdigit(), "platform.address", "must be host:port"),
            (self.platform.timeout > 0, "platform.timeout", "must be above 0"),
            (self.platform.watch_timeout > 0, "platform.watch_timeout", "must be above 0"),
            (self.shutdown.linger >= 0, "shutdown.linger", "must be 0 or more"),
            (self.shutdown.bound > 0, "shutdown.bound", "must be above 0"),
            (self.log.level in _LEVELS, "log.level", f"must be one of {', '.join(_LEVELS)}"),
        ]


def load_toml(path: str | Path, settings_type: type[T]) -> T:
    """Read a TOML file into a typed object.

    Raises:
        SettingsError: The file can't be read, is not valid TOML, or contains an invalid or unknown
            key.
    """
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(data, settings_type)
    except OSError as error:
        raise SettingsError(
            f"{path}: can't be read ({error.strerror}).",
            remedy="Check the path and the file permissions.",
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML ({error}).") from None
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}.") from None
