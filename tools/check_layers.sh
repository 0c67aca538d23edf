#!/usr/bin/env bash
# Fails if a decision file includes a socket, codec, log or metrics library, if
# src/ uses a mutex of the standard library in place of OrderedMutex, has an
# accessor named with get, or refers to names or files of platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
forbidden='#include <(boost/(asio|beast)|websocketpp|nlohmann|easylogging|prometheus|openssl|zstd)'
files=$(find src/request src/connection src/version src/process \
  \( -name '*.h' -o -name '*.cc' \) | grep -vE '/io/|worker_pool')
status=0
if grep -nE "$forbidden" $files; then
  echo "error: decision files must not include I/O or codec libraries" >&2
  status=1
fi
if grep -rnE 'std::(mutex|shared_mutex|recursive_mutex)\b' src |
  grep -v 'src/process/ordered_mutex'; then
  echo "error: use OrderedMutex, which checks the lock order" >&2
  status=1
fi
if grep -rnE '[^a-z_]get_[a-z_]+\(\) const|[^a-z]Get[A-Z][A-Za-z]*\(\) const' src; then
  echo "error: accessors are named without get" >&2
  status=1
fi
# Names of the users' platform are translated in platform/, so src/ must not
# contain them.
platform_names='X-Expect-Instance|X-Server-Signature|X-Tenant-Id|X-Not-Executed'
platform_names+='|X-Server-Load|X-Request-Deadline-Ms|kv-watch|kv-range'
platform_names+='|ColdRemainingMs|TrafficSplit|MANGODOOR_BOOT|op/evacuate'
if git grep -nE "$platform_names" -- src; then
  echo "error: names of the platform belong in platform/" >&2
  status=1
fi
if grep -nE '#include "(names|entry_pages|item_codec|store_client)\.h"' \
  -r src; then
  echo "error: files in src/ must not include files of platform/" >&2
  status=1
fi
exit $status
