#!/usr/bin/env bash
# Builds the tree into build/ (or $BUILD_DIR) with at most JOBS parallel compilers.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# Lets all checkouts of the tree share the cached objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja ${CMAKE_FLAGS:-} >/dev/null
ninja -C "$build" -j "${JOBS:-$(nproc)}" --quiet
