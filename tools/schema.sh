#!/usr/bin/env bash
# Regenerates the Cap'n Proto C++ code, or checks that the committed code is current.
# Usage: tools/schema.sh generate|check
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
mkdir -p generated
Out=generated
Tmp=""
if [ "${1:-check}" = check ]; then Tmp=$(mktemp -d); Out=$Tmp; fi
for Schema in src/*/*.capnp; do
  capnp compile --src-prefix="$(dirname "$Schema")" -oc++:"$Out" "$Schema"
done
if [ -n "$Tmp" ]; then
  diff -r -x .gitkeep "$Tmp" generated || { echo "schema: generated code is out of date; run make schema" >&2; exit 1; }
  rm -rf "$Tmp"
  echo "schema: generated code is current"
fi
