"""JSON logging to standard output that never blocks the process."""

import contextlib
import logging
import os
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter

from limpethollow_node.process import events
from limpethollow_policy.process.logbudgets import LogBudget

# Limit of the buffer for a slow or stopped reader of standard output. When it is full, new lines
# are dropped and old ones kept, since the first lines show how a problem started.
MAX_BUFFERED_BYTES = 1024 * 1024
_LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_STDOUT_DESCRIPTOR = 1


class StdoutHandler(logging.Handler):
    """Writes lines to a non-blocking descriptor and counts the lines it has to drop.

    A full pipe whose reader has stopped blocks the writer, so one log line could block all
    requests.

    Args:
        budget: Limits the lines written for each event.
        descriptor: File descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, budget: LogBudget, descriptor: int = _STDOUT_DESCRIPTOR) -> None:
        super().__init__()
        self._budget = budget
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        # Where it is closed, lines are dropped.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it until the descriptor accepts more."""
        event = getattr(record, "event", 0)
        is_error = record.levelno >= logging.ERROR
        if not is_error and not self._budget.allow(event, time.monotonic()):
            return
        line = self.format(record).encode() + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to log that.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def report(self) -> None:
        """Flush the buffer and log how many lines were suppressed; called about once a second."""
        self.flush()
        suppressed = self._budget.take_suppressed()
        dropped, self._dropped = self._dropped, 0
        if suppressed or dropped:
            lines = {str(event): count for event, count in suppressed.items()}
            events.LINES_SUPPRESSED.log(by_event=lines, dropped=dropped)


def configure_stdout_logging(instance: str | None = None) -> StdoutHandler:
    """Write log records to standard output as JSON lines.

    Args:
        instance: Name of this instance, added to every line; None while it is not known.
    """
    handler = StdoutHandler(LogBudget())
    fields = {} if instance is None else {"instance": instance}
    handler.setFormatter(JsonFormatter(_LINE_FORMAT, static_fields=fields))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("limpethollow").setLevel(logging.INFO)
    return handler
