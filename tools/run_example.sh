#!/usr/bin/env bash
# Runs a whole fleet on this machine with the files of examples/run: the
# stand-ins of the platform, four backend servers in two data centres, three
# instances and a caller. Prints each step, and finally "served N of N
# requests".
# Exit codes: 0 all requests served, 1 a step failed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
example=examples/run
logs=$build/run
requests=${REQUESTS:-200}
rate=${RATE:-50}
ready_limit_s=${READY_LIMIT_S:-30}
stop_limit_s=20
share_limit_s=30
wanted_tokens=10

configuration=127.0.0.1:7001
instance_list=127.0.0.1:7002
backends=(127.0.1.101:7200 127.0.1.102:7200 127.0.2.101:7200 127.0.2.102:7200)
instances=(east-1 east-2 west-1)
declare -A address=([east-1]=127.0.1.11 [east-2]=127.0.1.12 [west-1]=127.0.2.11)
caller_port=7100
peer_port=7101
admin_port=7102

pids=()
names=()
# Index of the first instance in `pids`, set when the instances are started.
first_instance=0

fail() {
  echo "error: $*" >&2
  exit 1
}

is_listening() {
  (exec 3<> "/dev/tcp/${1%:*}/${1##*:}") 2> /dev/null
}

# Waits up to $1 seconds for process $2 to end.
wait_for_end() {
  local tries=$(($1 * 10))
  while kill -0 "$2" 2> /dev/null; do
    [ "$tries" -gt 0 ] || return 1
    tries=$((tries - 1))
    sleep 0.1
  done
}

# Stops the processes of `pids` from index $1 on and removes them from `pids`.
stop_from() {
  local first=$1 i
  for ((i = first; i < ${#pids[@]}; i++)); do
    kill -TERM "${pids[i]}" 2> /dev/null || true
  done
  for ((i = first; i < ${#pids[@]}; i++)); do
    if ! wait_for_end "$stop_limit_s" "${pids[i]}"; then
      echo "warning: ${names[i]} did not stop within $stop_limit_s s" >&2
      kill -KILL "${pids[i]}" 2> /dev/null || true
    fi
    wait "${pids[i]}" 2> /dev/null || true
  done
  pids=("${pids[@]:0:first}")
}

# Stops the instances first, since they need the backend servers to finish
# their requests.
stop_all() {
  trap '' INT TERM
  stop_from "$first_instance"
  stop_from 0
}

on_exit() {
  local status=$?
  trap - EXIT
  stop_all
  exit "$status"
}
trap on_exit EXIT
trap 'echo "error: interrupted" >&2; exit 1' INT TERM

start() {
  local name=$1
  shift
  "$@" > "$logs/$name.log" 2>&1 &
  pids+=("$!")
  names+=("$name")
}

# Fails if any of the started processes has ended.
check_running() {
  local i
  for i in "${!pids[@]}"; do
    kill -0 "${pids[i]}" 2> /dev/null && continue
    tail -n 5 "$logs/${names[i]}.log" >&2 || true
    fail "${names[i]} exited unexpectedly; its log is $logs/${names[i]}.log"
  done
}

wait_until_listening() {
  local tries=100
  until is_listening "$1"; do
    check_running
    [ "$tries" -gt 0 ] || fail "nothing listens on $1 after 10 s"
    tries=$((tries - 1))
    sleep 0.1
  done
}

# Prints the response to GET $2 from $1 with its status line; prints nothing on
# failure.
http_get() {
  timeout 2 bash -c '
    exec 3<> "/dev/tcp/${1%:*}/${1##*:}" || exit 1
    printf "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" "$2" "$1" >&3
    cat <&3' bash "$1" "$2" 2> /dev/null || true
}

wait_until_ready() {
  local name=$1 admin=${address[$1]}:$admin_port answer=""
  local deadline=$((SECONDS + ready_limit_s))
  while :; do
    check_running
    answer=$(http_get "$admin" /readyz)
    case $answer in "HTTP/1.1 200"*) return 0 ;; esac
    [ "$SECONDS" -lt "$deadline" ] || break
    sleep 0.2
  done
  fail "$name is not ready after $ready_limit_s s: $(
    echo "${answer:-no response from $admin}" | tail -n 1)"
}

# Prints the tokens of client account $2 at the instance with admin endpoint $1.
tokens_of() {
  "$build/mangodoor-status" --admin "$1" --json 2> /dev/null |
    awk -v id="\"$2\"," '$1 == "\"id\":" { found = $2 == id }
      found && $1 == "\"tokens\":" { print int($2); exit }'
}

# Waits until instance $1 has tokens of its share, which takes more than 10 s
# from its start, unless a peer confirms the entry addresses (docs/design.md,
# 5.1). Here all instances start at once, so there is no such peer.
wait_for_share() {
  local deadline=$((SECONDS + share_limit_s)) tokens=0
  while [ "${tokens:-0}" -lt "$wanted_tokens" ]; do
    check_running
    [ "$SECONDS" -lt "$deadline" ] ||
      fail "$1 has ${tokens:-0} tokens of client account shop after $share_limit_s s"
    sleep 0.2
    tokens=$(tokens_of "${address[$1]}:$admin_port" shop)
  done
}

check_ports() {
  local endpoints=("$configuration" "$instance_list" "${backends[@]}")
  local name port endpoint
  for name in "${instances[@]}"; do
    for port in $caller_port $peer_port $admin_port; do
      endpoints+=("${address[$name]}:$port")
    done
  done
  for endpoint in "${endpoints[@]}"; do
    ! is_listening "$endpoint" ||
      fail "$endpoint is in use; stop the program that listens there"
  done
}

mkdir -p "$logs"
echo "== check: documents, settings and free ports"
check_ports
"$build/mangodoor-check" "$example/document.json" ||
  fail "the example document is invalid"
for name in "${instances[@]}"; do
  "$build/mangodoor-check" --settings "$example/$name.json" ||
    fail "the settings of $name are invalid"
done

echo "== start: the platform (configuration $configuration, instance list $instance_list)"
start standin-configuration "$build/standin-configuration" \
  -l "$configuration" -d "$example/document.json"
start standin-instances "$build/standin-instances" \
  -l "$instance_list" -d "$example/instances.json"
echo "== start: ${#backends[@]} backend servers (${backends[*]})"
for endpoint in "${backends[@]}"; do
  start "standin-backend-$endpoint" "$build/standin-backend" -l "$endpoint"
done
for endpoint in "$configuration" "$instance_list" "${backends[@]}"; do
  wait_until_listening "$endpoint"
done

echo "== start: ${#instances[@]} instances (${instances[*]})"
first_instance=${#pids[@]}
for name in "${instances[@]}"; do
  start "$name" "$build/mangodoor-instance" --settings "$example/$name.json"
done
echo "== wait: until /readyz of each instance returns 200, at most $ready_limit_s s"
for name in "${instances[@]}"; do
  wait_until_ready "$name"
done

echo "== wait: until each instance uses its share of client account shop, at most $share_limit_s s"
for name in "${instances[@]}"; do
  wait_for_share "$name"
done

echo "== load: $requests requests at $rate/s with the key of client account shop"
load_status=0
load_output=$("$build/mangodoor-load" \
  --address "${address[east-1]}:$caller_port" \
  --address "${address[west-1]}:$caller_port" \
  --key-file "$example/key.txt" --target /catalogue/crates \
  --rate "$rate" --duration "$((requests / rate))") || load_status=$?

echo "== status: instance east-1"
"$build/mangodoor-status" --admin "${address[east-1]}:$admin_port" ||
  fail "mangodoor-status failed"

echo "== stop: the instances, then the stand-ins"
stop_all
echo "$load_output"
[ "$load_status" -eq 0 ] || fail "mangodoor-load ended with status $load_status"
