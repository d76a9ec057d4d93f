#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs beside them: nothing is compiled, only the interpreter is needed.
exec python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else 1)'
