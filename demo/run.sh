#!/usr/bin/env bash
# Runs the demo of one deployment. Usage: demo/run.sh BUILD_DIR FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -u demo/run_demo.py "$1" "$2"
