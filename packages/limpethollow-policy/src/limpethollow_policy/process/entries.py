"""Limits on what other writers may state about searchers and instances on the platform."""

import re

from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.searchers import Searcher

# Ids stand in headers and log lines, and all evidence about crashing requests in one frame.
MAX_NAME_CHARACTERS = 128
# A frame with thousands of searchers must not exceed the size that peers accept.
_MAX_TEXT_CHARACTERS = 256
_MAX_SLOTS = 1_000_000
_MAX_COLD_SECONDS = 1e6
_MAX_STRENGTH = 10_000.0
# Larger integers can't be written to log lines.
MAX_INTEGER = 2**63 - 1

_NAME = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARACTERS}}}")
# Other host names make the resolver raise errors that are no OSError.
_LABEL = r"[0-9A-Za-z_:\[\]-]{1,63}"
_ADDRESS = re.compile(rf"(?=.{{1,253}}:){_LABEL}(?:\.{_LABEL})*:([0-9]{{1,5}})")


def is_name(text: str) -> bool:
    """Return whether a text can be the name of a searcher or an instance."""
    return _NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port that a connection can be opened to."""
    found = _ADDRESS.fullmatch(text)
    return found is not None and 0 < int(found[1]) < 65536


def invalid_searcher_field(searcher: Searcher) -> str | None:
    """Return the name of a searcher's first invalid field; None if all are valid."""
    checks = {
        "id": is_name(searcher.id),
        "service": 0 < len(searcher.service) <= _MAX_TEXT_CHARACTERS,
        "address": is_address(searcher.address),
        "failure domain": len(searcher.failure_domain) <= _MAX_TEXT_CHARACTERS,
        "slot count": 0 < searcher.slots <= _MAX_SLOTS,
        "incarnation": abs(searcher.incarnation) <= MAX_INTEGER,
        "cold time": 0 <= searcher.cold_left <= _MAX_COLD_SECONDS,
    }
    return next((name for name, is_valid in checks.items() if not is_valid), None)


def invalid_instance_field(instance: Instance) -> str | None:
    """Return the name of an instance's first invalid field; None if all are valid."""
    checks = {
        "name": is_name(instance.name),
        "address": is_address(instance.address),
        "peer address": is_address(instance.peer_address),
        "failure domain": len(instance.failure_domain) <= _MAX_TEXT_CHARACTERS,
        "strength": 0 <= instance.strength <= _MAX_STRENGTH,
        "incarnation": abs(instance.incarnation) <= MAX_INTEGER,
    }
    return next((name for name, is_valid in checks.items() if not is_valid), None)
