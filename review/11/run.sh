#!/usr/bin/env bash
# A zone is evacuated and taken back; a drill brings the store back from a copy
# that is older than both; the operator's next write evacuates the zone again.
# Counts the requests that its servers run later than EvacuationMs + MaxStretchMs
# after that.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it cannot run.
cd "$(dirname "$0")/../.." || exit 2
here=review/11
. review/standin-3/fleet.sh

# EvacuationMs and MaxStretchMs: the store came back a moment before the write.
evacuation_s=10
zones=(a a b b c c d d)
count=${#zones[@]}
seeds="1 3 5"
zone=b
in_zone="i-2 i-6"

start_store
for i in $(seq 8); do
  start_server "$i" svc "zone-$(echo a b c d a b c d | cut -d' ' -f"$i")" -w 20
done
put op/config < review/11/config.json
for i in $(seq "$count"); do
  write_settings "$i" "zone-${zones[i - 1]}"
  start_instance "$i"
done
wait_ready $(seq "$count")
sleep 4

directories=$(for i in $(seq "$count"); do directory "$i"; done)
began=$(date +%s.%N)
$bin/caller load "$work/sent" shop.example /r/ key-1 31 40 1 40 $directories &
load=$!
since() { awk -v a="$(date +%s.%N)" -v b="$began" 'BEGIN { printf "%.3f", a - b }'; }

sleep 2
echo '{}' | put op/evacuate/zone-$zone
note "evacuated zone-$zone at $(since) s"
sleep 5
$bin/caller http DELETE $store "/standin/item?key=op/evacuate/zone-$zone" > /dev/null
note "took it back at $(since) s"
sleep 2.5
if [ "${TROUBLE:-1}" != 0 ]; then
  $bin/caller http POST $store "/standin/restore?away_ms=2300&age_ms=9000" > /dev/null
  note "the store is away at $(since) s, and comes back from a copy 9 s old"
  sleep 0.1
fi
# The operator tries until the store accepts the write.
until $bin/caller http GET $store "/kv-key?Key=op/config" > /dev/null; do
  sleep 0.02
done
echo '{}' | put op/evacuate/zone-$zone
again=$(since)
note "evacuated zone-$zone again at $again s"
$bin/caller http GET $store "/kv-key?Key=op/evacuate/zone-$zone" >> "$record"
wait $load
{
  echo "seconds of sending and of the answer, id, status, instance, server"
  sort -n "$work/sent"
} >> "$record"
late=0
for server in $in_zone; do
  late=$((late + $(awk -v from="$again" -v s="$server." -v e=$evacuation_s \
    '$1 > from + e && index($6, s) == 1' "$work/sent" | wc -l)))
done
served=$(awk '$4 == 200' "$work/sent" | wc -l)
note "served $served; sent later than $evacuation_s s after the second evacuation and run in its zone: $late"
echo "run in the evacuated zone: $late of $served served"
[ "$served" -gt 0 ] || cannot_run "nothing was served"
[ "$late" = 0 ]
