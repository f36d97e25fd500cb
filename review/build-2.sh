#!/bin/sh
# Compiles the stand-ins of the second review's scripts. They need Python's standard library only,
# and the scripts start no stand-in of the project's own tests.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=${TMPDIR:-/tmp}/limpethollow-review-2 python3 -m compileall -q standins2 [4-8]
