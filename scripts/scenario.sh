#!/usr/bin/env bash
# Runs scenario files (docs/SCENARIOS.md) against the built tree, SCENARIO_JOBS in parallel.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-build}
[[ $build == /* ]] || build=$root/$build
if [ $# -eq 0 ]; then
  echo "no scenario given; pass one or more .scenario files" >&2
  exit 2
fi
export PYTHONPATH=$root/tests/scenarios PYTHONDONTWRITEBYTECODE=1
exec python3 -m runner --build "$build" --known-red "$root/KNOWN-RED.txt" --jobs "${SCENARIO_JOBS:-1}" "$@"
