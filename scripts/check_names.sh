#!/usr/bin/env bash
# Checks that no two headers define a type of the same name. All types share a namespace, and the linker would silently
# keep one of the two. Types inside others go by their full names.
set -euo pipefail
cd "$(dirname "$0")/.."
duplicates=$(git ls-files 'src/*.h' 'platform/*.h' | xargs grep -hoP '^(struct|class|enum class) \K(?>[a-z_]+(?:::[a-z_]+)*)\b(?! *;)' | sort | uniq -d)
[ -z "$duplicates" ] && exit 0
for name in $duplicates; do
  echo "two types are named $name; rename one of them:"
  git ls-files 'src/*.h' 'platform/*.h' | xargs grep -nP "^(struct|class|enum class) $name\b(?!::)(?! *;)"
done
exit 1
