#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be run. They are Python programs
# that use the standard library only, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
for path in ["standins.py"] + sorted(glob.glob("*/run.py")):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PY
