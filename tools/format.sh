#!/usr/bin/env bash
# Formats the C++ sources, or checks that they are formatted. Usage: tools/format.sh fix|check
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Files < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '^generated/')
case "${1:-check}" in
fix) clang-format -i "${Files[@]}" ;;
check) clang-format --dry-run --Werror "${Files[@]}" && echo "format: ${#Files[@]} files clean" ;;
*) echo "usage: tools/format.sh fix|check" >&2; exit 2 ;;
esac
