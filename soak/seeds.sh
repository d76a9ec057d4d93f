#!/usr/bin/env bash
# Runs the soak with many seeds, JOBS of them in parallel. Usage: soak/seeds.sh BUILD_DIR FIRST LAST [JOBS [SECONDS]]
# Prints one line per seed, then the number of failed seeds. The folders of failed seeds are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
export Build=$1 Seconds=${5:-20}
seq "$2" "$3" | xargs -P "${4:-3}" -I{} sh -c 'python3 soak/soak.py "$Build" --seed {} --seconds "$Seconds" || true' |
  tee /dev/stderr | awk '!/"broken": \[\]/ { ++Failed } END { print NR " seeds, " Failed + 0 " failed"; exit Failed > 0 }'
