"""JSON logging to standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str, instance: str) -> None:
    """Write log records to standard error as JSON lines.

    Args:
        level: Name of the lowest level that is logged.
        instance: Id of this instance, added to every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(_LINE_FORMAT, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("limpethollow").setLevel(level)
