#!/usr/bin/env bash
# Compares queries through the tier with direct queries, and queries with and without hedging.
# Prints Markdown tables; writes reports and plots to the folder in $1 (default build/measure).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
exec python3 scripts/measure_queries.py --build "${BUILD_DIR:-build}" \
  --port "${DEMO_PORT:-21000}" --out "${1:-${BUILD_DIR:-build}/measure}" --seconds "${SECONDS_EACH:-10}"
