#!/usr/bin/env bash
# Checks what the scripts in review/6 to review/10 start: their stand-ins, and those of soak/ that they use, are Python
# and need no build. The system itself is built with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/lab_2.py review/[0-9]*/case.py soak/soak.py soak/stand_ins.py soak/checks.py soak/wire.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
END_CODE=0
[ -x target/sycamorelb ] || { echo "target/sycamorelb is missing: build it as deploy/system.toml says"; END_CODE=1; }
exit $END_CODE
