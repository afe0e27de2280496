#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 9 can run. They are Python programs on the standard library
# and on tools/soaklib, so that nothing has to be compiled; the program itself is built as the deploy file
# says.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import asyncio
import sys

sys.path.insert(0, "tools")
assert hasattr(asyncio, "timeout"), "Python 3.11 or later is needed"
import soaklib.site
import soaklib.upstreams
PYTHON
test -x target/cassiaroad || echo "target/cassiaroad is missing: build as deploy/system.toml says" >&2
