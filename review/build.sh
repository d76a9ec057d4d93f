#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are in Python with its standard library only, so this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lab.py */case.py <<'PY'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
assert sys.version_info >= (3, 11), "asyncio.timeout needs Python 3.11"
PY
