"""What holds before the program is loaded."""

import subprocess
import sys

FIRST_IMPORT = "limpethollow_node.platform.callerlisteners"
SCRIPT = f"""
import runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "{FIRST_IMPORT}":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)

sys.meta_path.insert(0, Finder())
sys.argv = ["main", "--help"]
runpy.run_module("limpethollow_node.platform.main", run_name="__main__")
"""


class TestSignals:
    def test_a_reload_that_comes_while_the_program_is_loaded_does_not_end_it(self):
        """Guards against a process that ends by a signal which only asks it to read its file."""
        done = subprocess.run([sys.executable, "-c", SCRIPT], capture_output=True, text=True)
        assert (done.returncode, done.stdout.splitlines()[0]) == (0, "True")
