#!/usr/bin/env bash
# The settings change: GraceS becomes a fraction. The running processes refuse
# the new settings, and once they are stopped and started in turn, none starts.
source "$(dirname "$0")/../standin-2/fleet.sh"

config='{"Version":"00000001","Resources":[
{"ResourceKind":"Routes","Metadata":{"Name":"p"},"Spec":{"Host":"a.example","Prefix":"/p/","Kind":"safe","TimeoutMs":1000,"TargetLatencyMs":250,"Priority":1,"Service":"s","MaxAttempts":2,"Public":true}},
{"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{"HealthPath":"/health","MaxConns":220,"ColdStartS":0,"ColdPerS":0}},
{"ResourceKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}'
machines=(1 2)
declare -A zone_of=([1]=zone-a [2]=zone-b)

send() { # NAME
  "$bin/caller" --to "$net.1:$port_front,$net.2:$port_front" --host a.example \
    --path /p/x --rate 10 --seconds 3 --workers 2 --ids "$1" --out "$work/$1"
  sed "s/^/$1 /" "$work/$1" >> "$record"
}

served() { awk '$5 == 200 && $6 == 1 { n++ } END { print n + 0 }' "$work/$1"; }

start_store
put op/config "$config"
start_server 101 s zone-a
start_server 102 s zone-b
for machine in "${machines[@]}"; do
  start_instance "$machine" "${zone_of[$machine]}" "1 2"
done
wait_ready 15 "${machines[@]}" || give_up "the instances do not get ready"
sleep 4
send before
say "before: $(served before) of $(wc -l < "$work/before") served"

grace_s=5
[ "$trouble" = 0 ] || grace_s=5.5
say "GraceS becomes $grace_s; SIGHUP to all"
for machine in "${machines[@]}"; do
  write_settings "$machine" "${zone_of[$machine]}" "1 2"
  kill -HUP "${instance_pid[$machine]}"
done
sleep 1
grep -ho '"event":"settings_re[a-z]*".*' "$work"/instance-*.log |
  sed "s|$work/||g" | tee -a "$record"

starts=0 failed=0
for machine in "${machines[@]}"; do
  say "machine $machine gets SIGTERM, and is started again when it has ended"
  kill -TERM "${instance_pid[$machine]}"
  for _ in {1..70}; do
    kill -0 "${instance_pid[$machine]}" 2> /dev/null || break
    sleep 0.1
  done
  kill -KILL "${instance_pid[$machine]}" 2> /dev/null
  # A process that exits is restarted after a short delay.
  for _ in 1 2 3; do
    sleep 0.5
    start_instance "$machine" "${zone_of[$machine]}" "1 2"
    starts=$((starts + 1))
    wait_ready 4 "$machine" && break
    kill -0 "${instance_pid[$machine]}" 2> /dev/null && break
    failed=$((failed + 1))
    say "the process of machine $machine has ended by itself: $(
      grep -h '^error: ' "$work/instance-$machine.log" | tail -1 |
        sed "s|$work/||")"
  done
done
sleep 2
send after
say "after: $(served after) of $(wc -l < "$work/after") served; $failed of $starts starts failed"
[ "$(served before)" -gt 0 ] || give_up "nothing was served before"
[ "$failed" -gt 0 ] && { say "Fault: a program doesn't start"; exit 1; }
[ "$(served after)" -gt 0 ] || give_up "nothing was served after"
say "all programs started"
exit 0
