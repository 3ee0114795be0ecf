#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are in Python and use only
# its standard library, so there is nothing to compile; this checks that the
# interpreter is there and reads every file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("read", path)
PYTHON
