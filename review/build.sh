#!/usr/bin/env bash
# The stand-ins are Python without dependencies; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
