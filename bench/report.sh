#!/usr/bin/env bash
# Turns JSON lines into docs/bench-report.md and its plots. Usage: bench/report.sh FILE
# Without FILE, the experiments run first and their lines are written to bench/results.jsonl.
set -euo pipefail
cd "$(dirname "$0")/.."
File=${1:-bench/results.jsonl}
if [ $# -eq 0 ]; then bench/run.sh "${BUILD:-build}" > "$File"; fi
exec python3 bench/report.py "$File"
