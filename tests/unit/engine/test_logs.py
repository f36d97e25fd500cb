"""Log lines are bounded, and never hold the process up."""

import logging
import os

from limpethollow_node.process.stdoutlogs import MAX_BUFFERED_BYTES, StdoutHandler
from limpethollow_policy.process.logbudgets import LogBudget


class TestLogBudget:
    def test_each_event_has_a_rate_of_its_own(self):
        budget = LogBudget(rate=10.0, burst=5.0)
        assert sum(budget.allow(1, 0.0) for _ in range(20)) == 5
        assert budget.allow(2, 0.0)
        assert sum(budget.allow(1, 1.0) for _ in range(20)) == 5
        assert budget.take_suppressed() == {1: 30}
        assert budget.take_suppressed() == {}


class TestStdoutHandler:
    def record(self, text: str) -> logging.LogRecord:
        return logging.LogRecord("limpethollow", logging.INFO, "", 0, text, (), None)

    def test_a_reader_that_stops_reading_holds_nobody_up(self):
        """All requests of an instance stood still.

        The collector behind its standard output had stopped; the pipe was full, and the next log
        line waited for room.
        """
        reading, writing = os.pipe()
        handler = StdoutHandler(LogBudget(1e9, 1e9), writing)
        for _ in range(4000):
            handler.emit(self.record("x" * 1000))
        assert handler._buffered_bytes <= MAX_BUFFERED_BYTES
        assert handler._dropped > 0
        os.set_blocking(reading, False)
        read = b""
        while piece := _read(reading):
            read += piece
            handler.flush()
        assert read.startswith(b"x" * 1000 + b"\n")
        assert read.endswith(b"x\n")
        os.close(reading)
        os.close(writing)

    def test_without_a_reader_lines_are_given_up(self):
        reading, writing = os.pipe()
        os.close(reading)
        handler = StdoutHandler(LogBudget(), writing)
        handler.emit(self.record("gone"))
        assert handler._buffered_bytes == 0
        os.close(writing)


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 65536)
    except BlockingIOError:
        return b""
