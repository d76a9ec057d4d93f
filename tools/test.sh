#!/usr/bin/env bash
# Runs the Criterion tests with fixed RapidCheck seeds. Usage: tools/test.sh BUILD_DIR [criterion options]
set -euo pipefail
Build=${1:-build}
shift || true
export RC_PARAMS="${RC_PARAMS:-seed=42 max_success=200 noshrink=0}"
exec "$Build/sycamorelb-tests" --jobs 4 --timeout 120 "$@"
