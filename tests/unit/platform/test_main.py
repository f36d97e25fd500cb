"""What holds before the program is loaded."""

import subprocess
import sys
import tomllib

from tests.support.processes import ROOT

# Prints, at each import from a file, whether a signal that asks for a reload is ignored.
SCRIPT = """
import _signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        print(_signal.getsignal(_signal.SIGHUP) is _signal.SIG_IGN, name)

run, sys.argv = sys.argv[1:], ["main", "--help"]
sys.meta_path.insert(0, Finder())
sys.path += {path!r}
if run[0] == "-m":
    import runpy

    runpy.run_module(run[1], run_name="__main__")
else:
    with open(run[0]) as source:
        exec(source.read(), {{"__name__": "__main__", "__file__": run[0]}})
"""
MODULE = "limpethollow_node.platform.main"


def deployed_run() -> list[str]:
    """Return the words with which the platform starts a process."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["instance"]["run"].split()


def imports_with(*words: str) -> list[tuple[str, str]]:
    """Return whether the signal was ignored, and the name, of each module that a run imports."""
    script = SCRIPT.format(path=[path for path in sys.path if path])
    command = [sys.executable, *words[:-1], "-c", script, words[-1]]
    if words[-1] == MODULE:
        command = [sys.executable, "-c", script, "-m", MODULE]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0, done.stderr
    lines = [line.split() for line in done.stdout.splitlines() if line.startswith(("True", "Fal"))]
    return [(line[0], line[1]) for line in lines]


class TestSignals:
    def test_a_reload_that_comes_while_the_program_is_loaded_does_not_end_it(self):
        """Guards against a process that ends by a signal which only asks it to read its file."""
        imports = imports_with(MODULE)
        assert ("True", "limpethollow_node.platform.listeners") in imports

    def test_nothing_is_loaded_before_a_reload_signal_is_ignored(self):
        """Guards against the time in which a signal ends a process that has just started."""
        python, *words = deployed_run()
        assert "-S" in words
        imports = imports_with(*words)
        assert ("True", MODULE) in imports
        assert [name for ignored, name in imports if ignored == "False"] == []
