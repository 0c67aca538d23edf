#!/usr/bin/env bash
# Builds what the scripts of this review start besides the program of the deploy
# file: the project's stand-ins of the store and of a server, and a small client.
# Run it after the build of the deploy file: it links that build's libraries, so
# that it needs no package beyond those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++17 -O1 -pthread -Isrc -Iplatform -DMANGODOOR_VERSION='"review"'
  -DBOOST_COROUTINES_NO_DEPRECATION_WARNING -DBOOST_ALLOW_DEPRECATED_HEADERS
  -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE
  -DELPP_DISABLE_DEFAULT_CRASH_HANDLING)
libraries=(target/libmangodoor_platform.a target/libmangodoor_io.a
  target/libmangodoor_core.a target/libeasylogging.a -lboost_coroutine
  -lboost_context -lssl -lcrypto -lzstd)
g++ "${flags[@]}" -o "$out/store" platform/standins/store.cc "${libraries[@]}" &
store=$!
g++ "${flags[@]}" -o "$out/server" platform/standins/server.cc \
  platform/standins/lib/*.cc "${libraries[@]}" &
server=$!
g++ -std=c++17 -O1 -Wall -pthread -o "$out/caller" review/standin-3/caller.cc
wait "$store"
wait "$server"
