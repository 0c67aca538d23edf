#!/usr/bin/env bash
# A version splits a route 97.5 to 2.5 and takes a key away. The instances
# refuse the whole version, and go on to run requests with the key.
source "$(dirname "$0")/../standin-2/fleet.sh"

config() { # VERSION WEIGHT WEIGHT KEYS
  echo '{"Version":"0000000'$1'","Resources":[
{"ResourceKind":"Routes","Metadata":{"Name":"p"},"Spec":{"Host":"a.example","Prefix":"/p/","Kind":"unsafe","TimeoutMs":1000,"TargetLatencyMs":250,"Priority":1,"TrafficSplit":[{"Service":"s","Weight":'$2'},{"Service":"o","Weight":'$3'}],"MaxAttempts":2,"Public":false}},
{"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{"HealthPath":"/health","MaxConns":220,"ColdStartS":0,"ColdPerS":0}},
{"ResourceKind":"Services","Metadata":{"Name":"o"},"Spec":{"HealthPath":"/health","MaxConns":220,"ColdStartS":0,"ColdPerS":0}},
{"ResourceKind":"Tenants","Metadata":{"Name":"t"},"Spec":{"ApiKeys":['$4'],"RatePerS":1000,"Burst":1000}},
{"ResourceKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}'
}

call() { # KEY SECONDS NAME
  "$bin/caller" --to "$net.1:$port_front,$net.2:$port_front" --host a.example \
    --method POST --body 100 --path /p/x --key "$1" --rate 10 --seconds "$2" \
    --workers 2 --ids "$3" --out "$work/$3"
  sed "s/^/$3 /" "$work/$3" >> "$record"
}
with_status() { awk -v s="$2" '$5 == s { n++ } END { print n + 0 }' "$work/$1"; }

start_store
put op/config "$(config 1 90 10 '"key-a","key-b"')"
n=101
for service in s o; do
  for zone in zone-a zone-b; do
    start_server $n "$service" "$zone"
    n=$((n + 1))
  done
done
start_instance 1 zone-a "1 2"
start_instance 2 zone-b "1 2"
wait_ready 15 1 2 || give_up "the instances do not get ready"
sleep 4
call key-a 3 before

weights=(97.5 2.5)
[ "$trouble" = 0 ] && weights=(97 3)
say "key-a is taken away; weights ${weights[*]}"
put op/config "$(config 2 "${weights[@]}" '"key-b"')"
# ConfigApplyMs is 2 s.
sleep 10
call key-a 3 after
call key-b 3 other
grep -ho '"event":"entry_refused".*' "$work"/instance-*.log | tee -a "$record"
say "before: $(with_status before 200) of $(wc -l < "$work/before") with key-a were run"
say "later than 10 s after the confirmation: $(with_status after 200) with key-a were run, $(with_status after 401) got 401; $(with_status other 200) with key-b were run"
[ "$(with_status before 200)" -gt 0 ] && [ "$(with_status other 200)" -gt 0 ] ||
  give_up "the keys could not be used"
[ "$(with_status after 200)" -gt 0 ] && { say "CONFIG is broken"; exit 1; }
say "CONFIG holds"
exit 0
