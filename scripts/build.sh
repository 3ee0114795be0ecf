#!/usr/bin/env bash
# Builds the tree at the root into build/ (or $BUILD_DIR); JOBS bounds the compilers.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# Cached objects serve every checkout of the tree.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja ${CMAKE_FLAGS:-} >/dev/null
ninja -C "$build" -j "${JOBS:-$(nproc)}" --quiet
