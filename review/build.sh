#!/usr/bin/env bash
# The stand-ins are scripts: nothing is compiled, they are only checked.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for file in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(file.read_text(), str(file))
PY
