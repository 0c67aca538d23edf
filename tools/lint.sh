#!/usr/bin/env bash
# Runs clang-tidy on every source file. Skips files that had no findings before:
# BUILD/lint has an empty file for each, named by a hash of the source file, all
# headers and .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p "$build/lint"
export build
headers=$(find src tests platform -name '*.h' -print0 | sort -z | xargs -0 cat .clang-tidy | sha256sum)
export headers
lint_file() {
  local key
  key=$( (echo "$headers"; cat "$1") | sha256sum | cut -d' ' -f1)
  [ -e "$build/lint/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$1" > "$build/lint/$key.out" 2>/dev/null; then
    rm -f "$build/lint/$key.out"
    touch "$build/lint/$key"
    return 0
  fi
  cat "$build/lint/$key.out"
  return 1
}
export -f lint_file
find src tests platform -name '*.cc' -print0 | sort -z |
  xargs -0 -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_file {}'
