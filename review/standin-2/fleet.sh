# Shared by the scripts of the cases 6 and up: starts the platform's stand-ins,
# servers and instances on loopback addresses, as the deploy file does.
#
# Machine N has the address $net.N and the ports that all machines share. What
# is started is ended by end_all, by its process ids.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)
bin=$root/target/review-2
work=$(mktemp -d)
record=$here/record.txt
trouble=${TROUBLE:-1}
: > "$record"
pids=()
# A net of its own for each run, so that runs can overlap.
net=127.$((20 + $$ / 250 % 200)).$((1 + $$ % 250))
port_front=18045 port_ready=18048 port_control=18042 port_directory=18044
port_internal=17100 store=$net.250:18041

say() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$record"; }

end_all() {
  trap - EXIT
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  rm -rf "$work"
}
trap end_all EXIT

give_up() {
  say "the case could not run: $*"
  end_all
  exit 2
}

for program in "$root/target/mangodoor-platform" "$bin/store" "$bin/server" \
  "$bin/caller" "$bin/plain_server"; do
  [ -x "$program" ] || give_up "$program is missing"
done

start() { # NAME COMMAND...: sets $pid
  local name=$1
  shift
  "$@" >> "$work/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
  disown "$pid"
}

# An HTTP request; prints the answer with its head.
http() { # METHOD IP:PORT TARGET [BODY] [HEADER]
  local method=$1 host=${2%:*} port=${2#*:} target=$3 body=${4-} header=${5-}
  exec 9<> "/dev/tcp/$host/$port" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%sContent-Length: %s\r\n\r\n%s' \
    "$method" "$target" "$host" "${header:+$header$'\r\n'}" "${#body}" "$body" >&9
  timeout 3 cat <&9
  exec 9<&- 9>&-
} 2> /dev/null

start_store() {
  start store "$bin/store" --listen "$store"
  for _ in {1..100}; do
    http GET "$store" /standin/calls | grep -q 200 && return
    sleep 0.1
  done
  give_up "the store does not answer"
}

put() { # KEY VALUE
  http PUT "$store" "/standin/item?key=$1" "$2" | grep -q ' 200 ' ||
    give_up "the store does not take $1"
  say "the store has acknowledged $1"
}

start_server() { # N SERVICE ZONE [OPTION...]
  local n=$1 service=$2 zone=$3
  shift 3
  start "server-$n" "$bin/server" --listen "$net.$n:18080" --store "$store" \
    --id "i-$n" --service "$service" --zone "$zone" "$@"
}

# Fills platform/settings.json with the fields of DEPLOY.md, as the platform
# does. SEEDS has machine numbers. BOUNDS may replace a figure.
grace_s=6
write_settings() { # N ZONE "SEED..."
  local n=$1 zone=$2 list=
  for seed in $3; do
    list+="${list:+,}\"$net.$seed:$port_control\""
  done
  sed -e "s|{{Node}}|front-$n|" -e "s|{{Zone}}|$zone|" \
    -e "s|{{Listen.Front}}|$net.$n:$port_front|" \
    -e "s|{{Listen.Control}}|$net.$n:$port_control|" \
    -e "s|{{Ip}}|$net.$n|" -e "s|{{InternalPorts.0}}|$port_internal|" \
    -e "s|{{Limits.Cores}}|1|" -e "s#{{Seeds|json}}#[$list]#" \
    -e "s|{{Platform.Address}}|${store_seen:-$store}|" \
    -e "s|{{Listen.Directory}}|$net.$n:$port_directory|" \
    -e "s|{{Listen.Ready}}|$net.$n:$port_ready|" \
    -e "s|{{Limits.CpuShare}}|0.2|" -e "s|{{Bounds.QuotaWindowS}}|5|" \
    -e "s|{{Bounds.QuotaOverage}}|0.25|" -e "s|{{Bounds.QuotaSlack}}|20|" \
    -e "s|{{Bounds.BudgetRatio}}|0.2|" -e "s|{{Bounds.BudgetWindowS}}|10|" \
    -e "s|{{Bounds.BudgetSlack}}|58|" -e "s|{{Bounds.ProbesPerS}}|60|" \
    -e "s|{{Bounds.GraceS}}|$grace_s|" -e "s|{{Bounds.FailClosed}}|false|" \
    -e "s|{{Bounds.RevokeMs}}|5000|" \
    "$root/platform/settings.json" > "$work/settings-$n.json"
}

start_instance() { # N ZONE "SEED..."
  write_settings "$@"
  # The deploy file: target/mangodoor-platform --settings FILE
  start "instance-$1" "$root/target/mangodoor-platform" \
    --settings "$work/settings-$1.json"
  instance_pid[$1]=$pid
}
declare -A instance_pid

is_ready() { http GET "$net.$1:$port_ready" /readiness | grep -q '^HTTP/1.1 200'; }

wait_ready() { # SECONDS N...
  local end=$((SECONDS + $1))
  shift
  for n in "$@"; do
    until is_ready "$n"; do
      [ "$SECONDS" -lt "$end" ] || return 1
      sleep 0.1
    done
  done
}
