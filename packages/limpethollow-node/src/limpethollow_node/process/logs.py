"""JSON logs on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def start_logs(level: str, instance: str) -> None:
    """Send all log lines to standard error as JSON.

    Args:
        level: Name of the lowest level shown.
        instance: Id written into every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("limpethollow").setLevel(level)
