#!/usr/bin/env bash
# Runs the experiments and prints JSON lines to standard output. Usage: bench/run.sh BUILD_DIR [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -u bench/experiments.py "${1:-build}" "${@:2}"
