#!/bin/sh
# Checks the stand-ins of cases 6 to 10, which need the standard library only, and that
# the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
[ -e target/app/__main__.py ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 - <<'PYTHON'
import ast
from pathlib import Path

for path in sorted(Path("review/standins-2").glob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
