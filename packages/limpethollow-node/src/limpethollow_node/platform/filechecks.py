"""Checks the files that the platform reads or writes, before a process meets them."""

import re
import tomllib
from collections import Counter
from pathlib import Path

import msgspec

from limpethollow_node.platform.settings import load_settings
from limpethollow_wire.exceptions import SettingsError

_METRICS = re.compile(r"\d{1,5}/\S+")
_SERVED = ("front", "control", "directory")


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A program and where it runs.

    Attributes:
        run: The program and its arguments.
        on: Class of machines.
        share: Share of these machines; one of share and count is given.
        count: Machines in each failure domain.
        apart: Whether the last machines are taken instead of the first.
        serves: Whom it serves from outside.
        metrics: Port and path of its metrics.
        template: Template of its settings.
        env: Its environment.
    """

    run: str
    on: str
    share: float | None = None
    count: int | None = None
    apart: bool = False
    serves: tuple[str, ...] = ()
    metrics: str | None = None
    template: str | None = None
    env: dict[str, str] = {}


class DeployFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the platform builds the system and where it runs it."""

    build: str
    roles: dict[str, Role]
    packages: tuple[str, ...] = ()


def check_file(path: Path) -> str:
    """Check a settings file (JSON) or a deploy file (TOML); return what it is for.

    Raises:
        SettingsError: The file has a mistake; the message names file, key and remedy.
    """
    if path.suffix == ".json":
        return f"instance {load_settings(path).node_name}"
    deploy = _load_deploy(path)
    problems = [line for name, role in deploy.roles.items() for line in _role(name, role, path)]
    problems += _together(deploy)
    if problems:
        raise SettingsError(f"{path}: {' '.join(problems)}")
    return f"roles {', '.join(sorted(deploy.roles))}"


def _load_deploy(path: Path) -> DeployFile:
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), DeployFile)
    except OSError as error:
        raise SettingsError(f"{path}: can't be read ({error}).") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is no TOML ({error}).") from None
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}.") from None


def _role(name: str, role: Role, path: Path) -> list[str]:
    key = f"`roles.{name}"
    found = []
    if (role.share is None) == (role.count is None):
        found.append(f"{key}`: give one of `share` and `count`.")
    if role.share is not None and not 0 < role.share <= 1:
        found.append(f"{key}.share` is {role.share}: give more than 0, at most 1.")
    if role.count is not None and role.count < 1:
        found.append(f"{key}.count` is {role.count}: give 1 or more.")
    found += [
        f"{key}.serves` has `{served}`: give some of {', '.join(_SERVED)}."
        for served in role.serves
        if served not in _SERVED
    ]
    if role.metrics is not None and not _METRICS.fullmatch(role.metrics):
        found.append(f"{key}.metrics` is `{role.metrics}`: write it as PORT/PATH.")
    if role.template is not None and not (path.parent.parent / role.template).is_file():
        found.append(f"{key}.template`: there is no file {role.template}.")
    if not role.run.strip():
        found.append(f"{key}.run` is empty: name a program.")
    return found


def _together(deploy: DeployFile) -> list[str]:
    served = Counter((role.on, kind) for role in deploy.roles.values() for kind in role.serves)
    found = [
        f"Two roles on `{on}` serve `{kind}`: leave it to one."
        for (on, kind), count in served.items()
        if count > 1
    ]
    if not any(kind == "directory" for _, kind in served):
        found.append("No role serves `directory`: callers could not ask where to connect.")
    return found
