#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into target/review-2/. Run it after
# the build command of deploy/system.toml: the project's own stand-ins for the
# store and a server are linked with the libraries of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
libraries=(target/libmangodoor_platform.a target/libmangodoor_io.a
  target/libmangodoor_core.a target/libeasylogging.a
  -lboost_context -lboost_coroutine -lboost_system
  -lprometheus-cpp-core -lssl -lcrypto -lzstd -lpthread)
options=(-std=c++17 -O1 -w -I src -I platform -I platform/standins
  -DMANGODOOR_VERSION='"review"' -DBOOST_COROUTINES_NO_DEPRECATION_WARNING
  -DBOOST_ALLOW_DEPRECATED_HEADERS)
g++ "${options[@]}" -I platform/.. -I . platform/standins/store.cc \
  "${libraries[@]}" -o "$out/store" &
store=$!
g++ "${options[@]}" -I . platform/standins/server.cc \
  platform/standins/lib/*.cc "${libraries[@]}" -o "$out/server" &
server=$!
for name in caller plain_server; do
  g++ -std=c++17 -O1 -Wall -Wextra "review/standin-2/$name.cc" -lpthread \
    -o "$out/$name"
done
wait "$store"
wait "$server"
