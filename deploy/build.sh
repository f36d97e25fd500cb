#!/bin/sh
# Puts the pinned libraries and the product's packages under target/deps, where Python finds them.
set -eu
deps=target/deps
wanted=$(cat deploy/requirements.txt)
if [ "$(cat target/installed.txt 2>/dev/null)" != "$wanted" ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --quiet --disable-pip-version-check --no-deps \
    --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt target/installed.txt
fi
for package in limpethollow_wire limpethollow_policy limpethollow_node; do
  rm -rf "$deps/$package"
done
for package in wire policy node; do
  cp -R "packages/limpethollow-$package/src/limpethollow_$package" "$deps/"
done
