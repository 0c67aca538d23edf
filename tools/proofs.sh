#!/usr/bin/env bash
# Runs the fault matrix of tests/proofs.txt, which has one row for each
# invariant and fault. Fails if the test of a row fails or does not exist, and
# is not listed in KNOWN-RED.txt. SEED and RUNS set the seed and the number of
# runs of the property tests.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seed=${SEED:-20261204}
runs=${RUNS:-100}
failed=0
known=0
passed=0
printf '%-4s %-58s %-46s %-10s %s\n' id 'invariant and fault' test seed result
while IFS='|' read -r id fault program filter; do
  case "$id" in ''|'#'*) continue ;; esac
  output=$(RC_PARAMS="seed=$seed max_success=$runs" \
    "$build/mangodoor_tests_$program" --gtest_filter="$filter" 2>&1 < /dev/null)
  status=$?
  ran=$(grep -oE '^\[==========\] [0-9]+ test' <<< "$output" | head -1 | grep -oE '[0-9]+')
  if [ "$status" -eq 0 ] && [ "${ran:-0}" -gt 0 ]; then
    result=pass
    passed=$((passed + 1))
  elif grep -qF "$filter" KNOWN-RED.txt; then
    result=known-red
    known=$((known + 1))
  else
    result=FAIL
    failed=$((failed + 1))
    tail -25 <<< "$output"
  fi
  printf '%-4s %-58s %-46s %-10s %s\n' "$id" "$fault" "$filter" "$seed" "$result"
done < tests/proofs.txt
# Rows with the result known-red count as skipped.
echo "$passed passed, $failed failed, $known skipped"
[ "$failed" -eq 0 ]
