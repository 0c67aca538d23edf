#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/ into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -Ireview \
    -o "target/review/.case-$number" "$source" && mv "target/review/.case-$number" "target/review/case-$number" &
done
wait
for source in review/[0-9]*/case.cc; do
  [ -f "$source" ] || continue
  [ -x "target/review/case-$(basename "$(dirname "$source")")" ]
done
