#!/bin/sh
# Puts the pinned libraries and the product's packages under target/deps, where Python finds them.
#
# target/deps is a link to a folder that is complete before the link points to it, and that is never
# changed afterwards: processes may start and other builds may run at any moment of this one.
set -eu
folders=target/builds
mkdir -p "$folders"
fingerprint() { cksum | tr ' ' -; }

machine=$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
libraries=$folders/libraries-$({ printf '%s\n' "$machine"; cat deploy/requirements.txt; } | fingerprint)
if [ ! -d "$libraries" ]; then
  partial=$libraries.$$
  python3 -m pip install --quiet --quiet --disable-pip-version-check --no-deps \
    --target "$partial" -r deploy/requirements.txt
  # Another build may have been faster.
  mv -T "$partial" "$libraries" 2>/dev/null || rm -rf "$partial"
fi

sources=$(find packages/limpethollow-*/src -name '*.py' | LC_ALL=C sort | xargs cksum)
program=program-$(printf '%s\n' "$libraries" "$sources" | fingerprint)
if [ ! -d "$folders/$program" ]; then
  partial=$folders/$program.$$
  cp -R "$libraries" "$partial"
  for package in wire policy node; do
    cp -R "packages/limpethollow-$package/src/limpethollow_$package" "$partial/"
  done
  mv -T "$partial" "$folders/$program" 2>/dev/null || rm -rf "$partial"
fi

if [ "$(readlink target/deps)" != "builds/$program" ]; then
  # A folder from a release that had no link can't be replaced by one in a single step.
  [ -L target/deps ] || rm -rf target/deps
  ln -s "builds/$program" "target/deps.$$"
  mv -T "target/deps.$$" target/deps
fi

# Earlier builds stay for a day, for processes that were started from them.
find "$folders" -mindepth 1 -maxdepth 1 -mtime +1 ! -path "$libraries" ! -name "$program" \
  -exec rm -rf {} +
