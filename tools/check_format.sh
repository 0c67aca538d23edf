#!/usr/bin/env bash
# Fails if a C++ file is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
find src tests platform -name '*.h' -o -name '*.cc' | sort |
  xargs clang-format --dry-run --Werror
