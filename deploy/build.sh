#!/bin/sh
# Puts the pinned libraries and the product's packages under target/deps, where Python finds them.
#
# target/deps is a link to a folder that is complete before the link points to it, and that is never
# changed afterwards: processes may start and other builds may run at any moment of this one.
set -eu
folders=target/builds
mkdir -p "$folders"
fingerprint() { cksum | tr ' ' -; }
# A folder gets its name when it is complete, unless another build was faster.
finish() { chmod 755 "$1"; mv -T "$1" "$2" 2>/dev/null || rm -rf "$1"; }

machine=$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
libraries=$folders/libraries-$({ printf '%s\n' "$machine"; cat deploy/requirements.txt; } | fingerprint)
if [ ! -d "$libraries" ]; then
  partial=$(mktemp -d "$folders/partial.XXXXXX")
  python3 -m pip install --quiet --quiet --disable-pip-version-check --no-deps \
    --target "$partial" -r deploy/requirements.txt
  finish "$partial" "$libraries"
fi

sources=$(find packages/limpethollow-*/src -name '*.py' | LC_ALL=C sort | xargs cksum)
program=program-$(printf '%s\n' "$libraries" "$sources" | fingerprint)
if [ ! -d "$folders/$program" ]; then
  partial=$(mktemp -d "$folders/partial.XXXXXX")
  # With their times, by which compiled modules are found valid.
  cp -Rp "$libraries/." "$partial"
  for package in wire policy node; do
    cp -R "packages/limpethollow-$package/src/limpethollow_$package" "$partial/"
  done
  finish "$partial" "$folders/$program"
fi

previous=$(readlink target/deps || true)
if [ "$previous" != "builds/$program" ]; then
  # Earlier releases had a folder, which a link can't replace in one step. By these files they would
  # take the new one for theirs.
  [ -L target/deps ] || rm -rf target/deps
  rm -f target/installed.txt target/sources.txt
  # Its day begins now.
  [ -z "$previous" ] || touch "target/$previous"
  link=$(mktemp -u target/deps.XXXXXX)
  ln -s "builds/$program" "$link"
  mv -T "$link" target/deps
fi

# Earlier builds stay for a day, for processes that were started from them.
find "$folders" -mindepth 1 -maxdepth 1 -mtime +0 ! -path "$libraries" ! -name "$program" \
  -exec rm -rf {} + || true
