#!/usr/bin/env bash
# Planned work only: a route is removed, its servers are replaced by faster
# ones, and it is added again with a shorter time-out. The instances refuse all
# its requests from then on: they still expect the work to take as long as it
# did on the old servers, and no request is sent from which they could learn.
source "$(dirname "$0")/../standin-2/fleet.sh"

slow_ms=1200 fast_ms=100 long_ms=3000 short_ms=500

config() { # VERSION [TIMEOUT_MS]: without a time-out, the route /p/ is left out
  local route=
  [ $# -lt 2 ] || route='{"ResourceKind":"Routes","Metadata":{"Name":"p"},"Spec":{"Host":"a.example","Prefix":"/p/","Kind":"safe","TimeoutMs":'$2',"TargetLatencyMs":250,"Priority":1,"Service":"s","MaxAttempts":2,"Public":true}},'
  echo '{"Version":"0000000'$1'","Resources":['$route'
{"ResourceKind":"Routes","Metadata":{"Name":"q"},"Spec":{"Host":"a.example","Prefix":"/q/","Kind":"safe","TimeoutMs":1000,"TargetLatencyMs":250,"Priority":1,"Service":"o","MaxAttempts":2,"Public":true}},
{"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{"HealthPath":"/health","MaxConns":220,"ColdStartS":0,"ColdPerS":0}},
{"ResourceKind":"Services","Metadata":{"Name":"o"},"Spec":{"HealthPath":"/health","MaxConns":220,"ColdStartS":0,"ColdPerS":0}},
{"ResourceKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}'
}

call() { # PATH SECONDS RATE NAME
  "$bin/caller" --to "$net.1:$port_front,$net.2:$port_front" --host a.example \
    --path "$1" --rate "$3" --seconds "$2" --workers 8 --deadline-ms 3000 \
    --ids "$4" --out "$work/$4"
}

served() { # NAME
  awk '$5 == 200 && $6 == 1 { n++ } END { print n + 0 }' "$work/$1"
}

start_store
put op/config "$(config 1 $long_ms)"
start_server 101 s zone-a --work-ms $slow_ms
old=("$pid")
start_server 102 s zone-b --work-ms $slow_ms
old+=("$pid")
start_server 103 o zone-a --work-ms 50
start_server 104 o zone-b --work-ms 50
start_instance 1 zone-a "1 2"
start_instance 2 zone-b "1 2"
wait_ready 15 1 2 || give_up "the instances do not get ready"
sleep 4
say "requests on /p/, which takes $slow_ms ms; time-out $long_ms ms"
call /p/x 8 2 before

# With TROUBLE=0 the route stays and keeps its time-out; the rest is the same.
if [ "$trouble" = 0 ]; then
  put op/config "$(config 2 $long_ms)"
else
  put op/config "$(config 2)"
fi
# One after the other, the new one first; each old one serves for 2 s more.
for i in 0 1; do
  zones=(zone-a zone-b)
  start_server $((105 + i)) s "${zones[i]}" --work-ms $fast_ms
  sleep 1
  say "server 10$((1 + i)) reports draining and leaves"
  kill -TERM "${old[i]}"
  sleep 1
done
sleep 4
[ "$trouble" = 0 ] && short_ms=$long_ms
put op/config "$(config 3 $short_ms)"
# ConfigApplyMs is 2 s, StableWindowMs 3 s.
sleep 4
say "requests on /p/, which takes $fast_ms ms; time-out $short_ms ms; and on /q/"
call /p/x 20 2 later &
later=$!
call /q/x 20 2 first
wait "$later"
cat "$work/before" "$work/later" "$work/first" >> "$record"

first=$(served first) later=$(served later) sent=$(wc -l < "$work/later")
say "before: $(served before) of $(wc -l < "$work/before") served"
say "first route: $first of $(wc -l < "$work/first") served; the route added later: $later of $sent"
[ "$(served before)" -ge 8 ] && [ "$first" -ge 20 ] && [ "$sent" -ge 20 ] ||
  give_up "too few requests were served to judge"
[ $((later * 4)) -lt "$first" ] && { say "CONFIG is broken"; exit 1; }
say "CONFIG holds"
exit 0
