#!/usr/bin/env bash
# Sets up a fresh machine, builds, runs a small deployment on loopback through an overload, a
# release note and a drain, prints what happened and stops by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/setup.sh
build="${BUILD:-build}"
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" --target borageloftd borageloft > /dev/null
source meta/cluster.sh

echo "== nine nodes in three availability zones, three of them control hosts"
for n in 1 2 3 4 5 6 7 8 9; do start_node "$n"; done
for n in 1 2 3; do start_stand_in "$n" catalog-front --slots 12 --mean-ms 20 --calls parts-bin; done
for n in 4 5 6; do start_stand_in "$n" parts-bin --slots 12 --mean-ms 20; done
for n in 7 8 9; do
  start_stand_in "$n" claims-ledger --slots 12 --mean-ms 20 --record "$work/record-$n"
done

cat > "$work/0001.ini" <<'NOTE'
[note]
number = 1
author = demo
[added class claims]
importance = 1
reserved = 10%
[added class browse]
importance = 2
allowance = 1
[added service catalog-front]
timeout = 800ms
allowance = 1
calls = parts-bin
[added service parts-bin]
timeout = 500ms
allowance = 1
[added service claims-ledger]
idempotent = no
timeout = 1s
home = ne-north
[added rule place-claim]
service = claims-ledger
class = claims
[added rule listings]
class = browse
NOTE
operators="127.0.0.1:$(operators_port 1)"
wait_for 30 "$borageloft" status --node "$operators"
echo "== release note 1: classes, services and rules"
wait_for 30 "$borageloft" note submit "$work/0001.ini" --node "$operators"
for n in 1 2 3 4 5 6 7 8 9; do wait_for 20 is_ready "$n"; done
for service in catalog-front parts-bin claims-ledger; do wait_for 30 has_upstreams "$service" 3; done
"$borageloft" note submit "$work/0001.ini" --node "$operators" --wait

targets=()
for n in 1 2 3 4 5 6 7 8 9; do targets+=(--target "127.0.0.1:$(callers_port "$n")"); done
echo "== 16 s of load; from second 4 to 8 five times as much, from callers that retry at once"
"$borageloft" load "${targets[@]}" --rate 400 --duration 16 --senders 256 --retries 2 \
  --trigger-begin 4 --trigger-end 8 --surge 5 --record "$work/keys" \
  --kind "label=browse,weight=3,service=catalog-front,path=/list,timeout_ms=800" \
  --kind "label=claims,weight=1,service=claims-ledger,method=POST,path=/claims,key=yes,timeout_ms=1000" \
  --json > "$work/load.json" &
load=$!
pids+=("$load")

sleep 11
sed -e 's/number = 1/number = 2/' -e '/^\[added/,$d' "$work/0001.ini" > "$work/0002.ini"
printf '[changed limit queue_length]\nvalue = 96\n' >> "$work/0002.ini"
echo "== second 11: release note 2 while requests run"
"$borageloft" note submit "$work/0002.ini" --node "127.0.0.1:$(operators_port 2)" --wait
echo "== second 12: the catalog-front upstream beside node 3 is drained"
"$borageloft" drain --node "127.0.0.1:$(operators_port 3)"
wait "$load"

echo
"$borageloft" upstreams --node "$operators"
echo
jq -r '
  (["KIND","PHASE","OFFERED","GOODPUT/S","NOT RUN","UNKNOWN","DAMAGED","P50 MS","P99 MS"] | @tsv),
  (.kinds[] | . as $kind | ("before", "during", "after") | . as $phase | $kind[$phase] |
    [$kind["label"], $phase, .offered, (.goodput_per_second | round), .not_run, .unknown,
     (.damaged + .foreign), (.p50_ms | round), (.p99_ms | round)] | @tsv)
  ' "$work/load.json" | column -t -s $'\t'
twice=$(cat "$work"/record-* | cut -d' ' -f1 | sort | uniq -d | wc -l)
damaged=$(jq '[.kinds[] | (.before, .during, .after) | .damaged + .foreign] | add' "$work/load.json")
cut_off=$(jq '[.kinds[].after.unknown] | add' "$work/load.json")
echo
echo "claims executed twice: $twice; answers damaged: $damaged; cut off while draining: $cut_off;" \
  "recovered after $(jq -r '.recovery_ms // "more than 8000"' "$work/load.json") ms"
[ "$twice" = 0 ] && [ "$damaged" = 0 ] && [ "$cut_off" = 0 ]
