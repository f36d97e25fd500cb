"""JSON logs on standard output that never hold the process up."""

import logging
import os
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter

from limpethollow_node.process import events
from limpethollow_policy.process.logbudgets import LogBudget

# Bytes that wait for a reader of standard output that is slow or has stopped; older lines are kept
# and newer ones dropped, since the first ones tell how a trouble began.
MAX_WAITING_BYTES = 1024 * 1024
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_STDOUT = 1


class StdoutHandler(logging.Handler):
    """Writes lines to a descriptor that doesn't block, and counts what it had to drop.

    A pipe whose reader has stopped blocks its writer once it is full; all requests would stand
    still for want of a log line.

    Args:
        budget: How many lines of each event may be written.
        descriptor: Where to write.
    """

    def __init__(self, budget: LogBudget, descriptor: int = _STDOUT) -> None:
        super().__init__()
        self._budget = budget
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it until there is room."""
        event = getattr(record, "event", 0)
        urgent = record.levelno >= logging.ERROR
        if not urgent and not self._budget.allow(event, time.monotonic()):
            return
        line = self.format(record).encode() + b"\n"
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as there is room."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more. There is no other place to say so.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def report(self) -> None:
        """Write what waits, and say what was not written; called about once a second."""
        self.flush()
        suppressed = self._budget.take_suppressed()
        dropped, self._dropped = self._dropped, 0
        if suppressed or dropped:
            lines = {str(event): count for event, count in suppressed.items()}
            events.LINES_SUPPRESSED.log(by_event=lines, dropped=dropped)


def start_stdout_logs(instance: str) -> StdoutHandler:
    """Send all log lines to standard output as JSON.

    Args:
        instance: Name written into every line.
    """
    handler = StdoutHandler(LogBudget())
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("limpethollow").setLevel(logging.INFO)
    return handler
