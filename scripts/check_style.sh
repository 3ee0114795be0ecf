#!/usr/bin/env bash
# Runs clang-format and clang-tidy on the given files, or on all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
cmake -S . -B "$build" -G Ninja >/dev/null
sources=()
for file in "${files[@]}"; do
  [[ $file == *.cc ]] && sources+=("$file")
done
[ ${#sources[@]} -eq 0 ] && exit 0
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 1 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2>/dev/null
echo "style: ${#files[@]} files clean"
