#!/bin/sh
# Puts the pinned libraries and the product's packages under target/deps, where Python finds them.
set -eu
deps=target/deps
wanted=$(cat deploy/requirements.txt)
if [ "$(cat target/installed.txt 2>/dev/null)" != "$wanted" ]; then
  rm -rf "$deps" target/sources.txt
  python3 -m pip install --quiet --quiet --disable-pip-version-check --no-deps \
    --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt target/installed.txt
fi
# The sources are replaced only where they changed: a process that starts while they are copied
# would find half of them, and end.
sources=$(find packages/limpethollow-*/src -name '*.py' | LC_ALL=C sort | xargs cksum)
if [ "$(cat target/sources.txt 2>/dev/null)" != "$sources" ]; then
  rm -f target/sources.txt
  for package in wire policy node; do
    rm -rf "$deps/limpethollow_$package"
    cp -R "packages/limpethollow-$package/src/limpethollow_$package" "$deps/"
  done
  printf '%s\n' "$sources" > target/sources.txt
fi
