#!/usr/bin/env bash
# Measures the path of a query against direct sending, and hedging against none.
# Prints tables in Markdown; reports and plots go to the folder named (build/measure).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
exec python3 scripts/measure_queries.py --build "${BUILD_DIR:-build}" \
  --port "${DEMO_PORT:-21000}" --out "${1:-${BUILD_DIR:-build}/measure}" --seconds "${SECONDS_EACH:-10}"
