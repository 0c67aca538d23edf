# Functions for the scripts of this review: start and end the processes of a
# small deployment on loopback addresses. Sourced by run.sh of a case, which has
# set `here` (its folder) and runs in the root of the repository.

bin=target/review-3
net=127.$((64 + $$ % 128))
work=$(mktemp -d)
declare -A pid_of
record=$here/record.txt
: > "$record"

note() { echo "$(date +%T.%3N) $*" >> "$record"; }

cannot_run() { note "cannot run: $*"; end_all; exit 2; }

# Ends only the processes that this script started, by their ids.
end_all() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -KILL "${pid_of[$name]}" 2>/dev/null
    wait "${pid_of[$name]}" 2>/dev/null
  done
  rm -rf "$work"
}

for program in target/mangodoor-platform $bin/store $bin/server $bin/caller; do
  [ -x "$program" ] || cannot_run "$program is not built"
done
trap 'end_all' EXIT

store=$net.1.1:7001

start_store() {
  $bin/store -l $store > "$work/store.log" 2>&1 &
  pid_of[store]=$!
  local i
  for i in $(seq 50); do
    $bin/caller http GET $store '/kv-range?Prefix=none' > /dev/null && return
    sleep 0.1
  done
  cannot_run "the store does not answer"
}

# start_server INDEX SERVICE ZONE [MORE OPTIONS]
start_server() {
  local i=$1 service=$2 zone=$3
  shift 3
  $bin/server -l $net.2.$i:9000 -t $store -i i-$i -s "$service" -z "$zone" \
    -b 1500 -r "$work/runs-$i" "$@" > "$work/server-$i.log" 2>&1 &
  pid_of[server-$i]=$!
}

front() { echo $net.3.$1:8045; }
ready() { echo $net.3.$1:8048; }
control() { echo $net.3.$1:8042; }
directory() { echo $net.3.$1:8044; }
admin() { echo $net.3.$1:7100; }

# write_settings INDEX ZONE: fills in platform/settings.json as DEPLOY.md says,
# with the bounds of a small site. `seeds` is a list of indexes.
write_settings() {
  local i=$1 zone=$2 list="" seed
  for seed in $seeds; do list+="${list:+,}\"$(control "$seed")\""; done
  sed -e "s/{{Node}}/front-$i/; s/{{Zone}}/$zone/" \
    -e "s/{{Listen.Front}}/$(front $i)/; s/{{Listen.Ready}}/$(ready $i)/" \
    -e "s/{{Listen.Control}}/$(control $i)/" \
    -e "s/{{Listen.Directory}}/$(directory $i)/" \
    -e "s/{{Ip}}/$net.3.$i/; s/{{InternalPorts.0}}/7100/" \
    -e "s/{{Seeds|json}}/[$list]/; s/{{Platform.Address}}/${store_for[$i]:-$store}/" \
    -e "s/{{Limits.Cores}}/1/; s/{{Limits.CpuShare}}/0.2/" \
    -e "s/{{Bounds.QuotaWindowS}}/5/; s/{{Bounds.QuotaOverage}}/0.25/" \
    -e "s/{{Bounds.QuotaSlack}}/20/; s/{{Bounds.BudgetRatio}}/0.2/" \
    -e "s/{{Bounds.BudgetWindowS}}/10/; s/{{Bounds.BudgetSlack}}/58/" \
    -e "s/{{Bounds.ProbesPerS}}/60/; s/{{Bounds.GraceS}}/6/" \
    -e "s/{{Bounds.FailClosed}}/false/; s/{{Bounds.RevokeMs}}/5000/" \
    platform/settings.json > "$work/settings-$i"
}
declare -A store_for

start_instance() {
  target/mangodoor-platform --settings "$work/settings-$1" \
    >> "$work/instance-$1.log" 2>&1 &
  pid_of[instance-$1]=$!
}

# kill_instance INDEX: as by a SIGKILL of the platform.
kill_instance() {
  kill -KILL "${pid_of[instance-$1]}"
  wait "${pid_of[instance-$1]}" 2>/dev/null
  unset "pid_of[instance-$1]"
}

# put KEY: writes standard input into the store, as the operator does.
put() {
  cat > "$work/value"
  $bin/caller http PUT $store "/standin/item?key=$1" "$work/value" > /dev/null ||
    cannot_run "the store refuses $1"
}

wait_ready() {
  local i try
  for i in "$@"; do
    for try in $(seq 100); do
      $bin/caller http GET "$(ready "$i")" /readiness > /dev/null && continue 2
      sleep 0.1
    done
    cannot_run "instance $i is not ready"
  done
}

rank_of() {
  $bin/caller http GET "$(admin "$1")" /status |
    tr -d ' \n' | sed -n 's/.*"rank":\([0-9]*\).*/\1/p'
}
