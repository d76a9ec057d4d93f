#!/usr/bin/env bash
# Runs clang-tidy on all sources except generated ones. Usage: tools/lint.sh BUILD_DIR [JOBS] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
Jobs=${2:-4}
shift 2 || true
if [ $# -gt 0 ]; then Files=("$@"); else
  mapfile -t Files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '^generated/')
fi
# clang-tidy prints the number of suppressed warnings per file; the filter keeps the findings only.
printf '%s\n' "${Files[@]}" | xargs -P "$Jobs" -n 1 clang-tidy --quiet -p "$Build" 2> >(grep -vE 'warnings? (generated|treated)|^Suppressed|^Use -header' >&2)
echo "lint: ${#Files[@]} files clean"
