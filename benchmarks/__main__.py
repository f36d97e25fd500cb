"""Runs measurements: `python -m benchmarks [NAME ...]`; all of them where none is named."""

import argparse
import importlib
import pkgutil
import sys

import benchmarks
from benchmarks import registry

_NOT_MEASUREMENTS = {"benchmarks.__main__", "benchmarks.registry"}


def main() -> int:
    """Run the named measurements."""
    for module in pkgutil.walk_packages(benchmarks.__path__, "benchmarks."):
        if module.name not in _NOT_MEASUREMENTS:
            importlib.import_module(module.name)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help=f"of: {', '.join(registry.names())}")
    wanted = parser.parse_args().names or registry.names()
    unknown = set(wanted) - set(registry.names())
    if unknown:
        parser.error(f"no such measurement: {', '.join(sorted(unknown))}")
    for name in wanted:
        registry.run(name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
