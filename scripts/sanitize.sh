#!/usr/bin/env bash
# Runs the unit tests with the address and undefined-behaviour sanitizers, and the tests tagged [ring] and [steward]
# with the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=build-asan CMAKE_FLAGS="-DPAPAYAGLADE_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug" scripts/build.sh
# Fibers switch stacks, which use-after-return detection does not support.
ASAN_OPTIONS=detect_stack_use_after_return=0 build-asan/unit_tests
BUILD_DIR=build-tsan CMAKE_FLAGS="-DPAPAYAGLADE_SANITIZE=thread -DCMAKE_BUILD_TYPE=RelWithDebInfo" scripts/build.sh
build-tsan/unit_tests "[ring],[steward]"
