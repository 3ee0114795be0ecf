#!/usr/bin/env bash
# Checks that the stand-ins of cases 11 to 15 can run: they are Python files
# without dependencies, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null
for file in standins-3/*.py 1[1-5]/*.py; do
  [ -f "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -B -c 'import asyncio, sys, tomllib; assert sys.version_info >= (3, 11)'
