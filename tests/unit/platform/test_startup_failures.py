"""What a process tells that can't start."""

import json
import os
import subprocess
import sys

from limpethollow_node.platform.main import EXIT_SETTINGS

COMMAND = [sys.executable, "-m", "limpethollow_node.platform.main"]


class TestStartupFailures:
    def test_the_reason_is_a_numbered_event(self, tmp_path):
        """Guards against processes that end without a line that tells why."""
        path = tmp_path / "node.json"
        path.write_text('{"nodeName": 7}')
        environment = {**os.environ, "LIMPETHOLLOW_SETTINGS": str(path)}
        done = subprocess.run(COMMAND, env=environment, capture_output=True)
        told = json.loads(done.stdout)
        assert (told["event"], told["status"]) == (108, EXIT_SETTINGS) == (108, done.returncode)
        assert "nodeName" in told["error"]
