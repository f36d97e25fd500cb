"""Validates settings files and deploy files without starting a process."""

import re
import tomllib
from collections import Counter
from pathlib import Path

import msgspec

from limpethollow_node.platform.settings import load_settings
from limpethollow_wire.exceptions import SettingsError

_METRICS = re.compile(r"\d{1,5}/\S+")
_SERVED_KINDS = ("front", "control", "directory")


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A program and the machines on which it runs.

    Attributes:
        run: The program and its arguments.
        on: Class of machines on which it runs.
        share: Share of these machines; exactly one of share and count must be given.
        count: Number of machines in each failure domain.
        apart: Whether to use the last machines of the class instead of the first.
        serves: Kinds of external traffic that it serves.
        metrics: Port and path of its metrics endpoint.
        template: Path of its settings template.
        env: Its environment variables.
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
    """How the platform builds and deploys the system."""

    build: str
    roles: dict[str, Role]
    packages: tuple[str, ...] = ()


def check_file(path: Path) -> str:
    """Check a settings file (JSON) or a deploy file (TOML); return a short description of it.

    Raises:
        SettingsError: The file is invalid; the message names the file, the key and the remedy.
    """
    if path.suffix == ".json":
        return f"instance {load_settings(path).node_name}"
    deploy = _load_deploy(path)
    problems = [
        line for name, role in deploy.roles.items() for line in _role_problems(name, role, path)
    ]
    problems += _cross_role_problems(deploy)
    if problems:
        raise SettingsError(f"{path}: {' '.join(problems)}")
    return f"roles {', '.join(sorted(deploy.roles))}"


def _load_deploy(path: Path) -> DeployFile:
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), DeployFile)
    except OSError as error:
        raise SettingsError(f"{path}: can't be read ({error}).") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML ({error}).") from None
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}.") from None


def _role_problems(name: str, role: Role, path: Path) -> list[str]:
    key = f"`roles.{name}"
    messages = []
    if (role.share is None) == (role.count is None):
        messages.append(f"{key}`: give one of `share` and `count`.")
    if role.share is not None and not 0 < role.share <= 1:
        messages.append(f"{key}.share` is {role.share}: use a value above 0 and at most 1.")
    if role.count is not None and role.count < 1:
        messages.append(f"{key}.count` is {role.count}: use 1 or more.")
    messages += [
        f"{key}.serves` has `{served}`: use only {', '.join(_SERVED_KINDS)}."
        for served in role.serves
        if served not in _SERVED_KINDS
    ]
    if role.metrics is not None and not _METRICS.fullmatch(role.metrics):
        messages.append(f"{key}.metrics` is `{role.metrics}`: use the form PORT/PATH.")
    if role.template is not None and not (path.parent.parent / role.template).is_file():
        messages.append(f"{key}.template`: the file {role.template} does not exist.")
    if not role.run.strip():
        messages.append(f"{key}.run` is empty: give a program.")
    return messages


def _cross_role_problems(deploy: DeployFile) -> list[str]:
    served = Counter((role.on, kind) for role in deploy.roles.values() for kind in role.serves)
    messages = [
        f"Two roles on `{on}` serve `{kind}`: only one may."
        for (on, kind), count in served.items()
        if count > 1
    ]
    if not any(kind == "directory" for _, kind in served):
        messages.append("No role serves `directory`: callers could not look up addresses.")
    return messages
