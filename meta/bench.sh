#!/usr/bin/env bash
# Measures the figures of docs/design.md, section 15, with real processes on loopback. Prints one
# JSON line for each figure: name, value, unit, bound, holds. Each figure under load stands beside
# the baseline with the controls off in the same run.
# Usage: meta/bench.sh [latency|overload|slowdown|surge|drain|connections ...]; all without names.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
cmake --build "$build" --target borageloftd borageloft > /dev/null
source meta/cluster.sh
operators="127.0.0.1:$(operators_port 1)"

# figure NAME VALUE UNIT BOUND COMPARISON: COMPARISON is le, ge or none.
figure() {
  jq -nc --arg name "$1" --argjson value "$2" --arg unit "$3" --argjson bound "$4" --arg is "$5" \
    '{name: $name, value: $value, unit: $unit, bound: $bound,
      holds: (if $value == null then false elif $is == "le" then $value <= $bound
              elif $is == "ge" then $value >= $bound else null end)}'
}

write_note() {
  cat > "$work/0001.ini" <<'NOTE'
[note]
number = 1
author = bench
[added class claims]
importance = 1
allowance = 1
reserved = 10%
[added class browse]
importance = 2
allowance = 1
[added service front]
timeout = 500ms
allowance = 1
calls = deep
[added service deep]
timeout = 400ms
allowance = 1
[added rule important]
path = /claims*
class = claims
[added rule rest]
class = browse
NOTE
}

# start_chain CONTROLS: front (3 upstreams, 4 slots) calls deep (3 upstreams, 4 slots), 20 ms each.
# A request holds a front slot for 40 ms, so the chain serves 300 a second.
capacity=300
start_chain() {
  local n
  for n in 1 2 3 4 5 6; do start_node "$n" "[requests]
controls = $1"; done
  for n in 1 2 3; do
    start_stand_in "$n" front --slots 4 --connections 200 --mean-ms 20 --shape fixed --calls deep
  done
  for n in 4 5 6; do
    start_stand_in "$n" deep --slots 4 --connections 200 --mean-ms 20 --shape fixed
  done
  start_note front deep
}

start_note() {
  write_note
  wait_for 30 "$borageloft" note submit "$work/0001.ini" --node "$operators"
  local n service
  for n in 1 2 3 4 5 6; do [ ! -e "$work/node-$n.ini" ] || wait_for 30 is_ready "$n"; done
  for service in "$@"; do wait_for 30 has_upstreams "$service" 3; done
}

restart_empty() {
  stop_processes
  rm -rf "${work:?}"/*
}

stop_processes() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
  pids=()
}

# load FILE RATE SECONDS [options]: one fifth of the requests are important.
load() {
  local file=$1 rate=$2 seconds=$3
  shift 3
  "$borageloft" load --target "127.0.0.1:$(callers_port 1)" --target "127.0.0.1:$(callers_port 2)" \
    --target "127.0.0.1:$(callers_port 3)" --rate "$rate" --duration "$seconds" --senders 900 \
    --kind "label=claims,weight=1,service=front,path=/claims,timeout_ms=500" \
    --kind "label=browse,weight=4,service=front,path=/list,timeout_ms=500" \
    --json "$@" > "$work/$file"
}

# goodput FILE PHASE: whole answers a second of all kinds.
goodput() { jq "[.kinds[].$2.goodput_per_second] | add" "$work/$1"; }

executed() {
  local n sum=0
  for n in "$@"; do sum=$((sum + $(stand_in_record "$n" | jq .executed))); done
  echo "$sum"
}

metric_sum() {
  local n
  for n in 1 2 3 4 5 6; do curl -s "http://127.0.0.1:$(local_port "$n")/metrics"; done |
    awk -v name="$1" 'index($1, name) == 1 { sum += $2 } END { print sum + 0 }'
}

bench_latency() {
  start_node 1
  start_node 2
  start_node 3
  start_stand_in 2 front --slots 64 --connections 256 --mean-ms 1 --shape fixed
  write_note
  sed -i '/^calls/d' "$work/0001.ini"
  wait_for 30 "$borageloft" note submit "$work/0001.ini" --node "$operators"
  for n in 1 2 3; do wait_for 30 is_ready "$n"; done
  wait_for 30 has_upstreams front 1
  local kind="label=browse,service=front,path=/list,timeout_ms=500" port
  # The first run warms connections, threads and the gate's limit.
  for port in $(callers_port 1) $(callers_port 1) $(stand_in_port 2); do
    "$borageloft" load --target "127.0.0.1:$port" --rate 500 --duration 5 --senders 32 \
      --kind "$kind" --json > "$work/latency-$port.json"
  done
  local p
  for p in p50 p99; do
    local through direct added
    through=$(jq ".kinds[0].before.${p}_ms" "$work/latency-$(callers_port 1).json")
    direct=$(jq ".kinds[0].before.${p}_ms" "$work/latency-$(stand_in_port 2).json")
    added=$(jq -n "$through - $direct")
    if [ "$p" = p99 ]; then
      figure added_latency_p99_ms "$added" ms 0.66 le
    else
      figure added_latency_p50_ms "$added" ms null none
    fi
  done
  local before after calls
  before=$(cpu_ticks)
  "$borageloft" load --target "127.0.0.1:$(callers_port 1)" --rate 3000 --duration 5 --senders 64 \
    --kind "$kind" --json > "$work/busy.json"
  after=$(cpu_ticks)
  calls=$(jq '.kinds[0].before.good' "$work/busy.json")
  figure calls_per_core_second "$(jq -n "$calls / (($after - $before) / 100) | round")" 1/s null none
}

# CPU time of all nodes in ticks of 10 ms.
cpu_ticks() {
  local pid sum=0
  for pid in $(pgrep -f "^$borageloftd --settings $work/"); do
    sum=$((sum + $(cut -d' ' -f14,15 "/proc/$pid/stat" | tr ' ' '+')))
  done
  echo "$sum"
}

bench_overload() {
  local controls times rate prefix
  for controls in on off; do
    restart_empty
    start_chain "$controls"
    load warm.json 240 4
    prefix=""
    [ "$controls" = on ] || prefix="baseline_"
    for times in 2 10; do
      rate=$((capacity * times))
      local before_front before_retries
      before_front=$(executed 1 2 3)
      before_retries=$(metric_sum borageloft_retries_total)
      load "load.json" "$rate" 10
      local share
      share=$(jq -n "$(goodput load.json before) / $capacity * 1000 | round / 1000")
      if [ "$controls" = off ]; then
        figure "${prefix}goodput_at_${times}x" "$share" share null none
        continue
      fi
      figure "goodput_at_${times}x" "$share" share "$([ $times = 2 ] && echo 0.95 || echo 0.90)" ge
      if [ "$times" = 2 ]; then
        figure important_goodput_at_2x "$(jq '.kinds[0].before | .good / .offered' "$work/load.json")" \
          share 0.999 ge
        figure important_shed_before_lower "$(jq '.kinds[0].before.not_run' "$work/load.json")" \
          count 0 le
      fi
      local ran good
      ran=$(($(executed 1 2 3) - before_front))
      good=$(jq '[.kinds[].before.good] | add' "$work/load.json")
      figure "wasted_work_share_at_${times}x" \
        "$(jq -n "([$ran - $good, 0] | max) / $ran * 10000 | round / 10000")" share 0.02 le
      figure "retry_amplification_at_${times}x" \
        "$(jq -n "1 + ($(metric_sum borageloft_retries_total) - $before_retries) / \
          ($good + 1) * 1 | . * 1000 | round / 1000")" ratio 2 le
    done
  done
}

# Recovery after the trigger's end, against the goodput before it.
bench_slowdown() {
  local controls
  for controls in on off; do
    restart_empty
    start_chain "$controls"
    load warm.json 240 4
    local at=()
    for n in 4 5 6; do
      at+=(--at "5@127.0.0.1:$(command_port "$n")/{\"command\":\"slow_down\",\"factor\":10}")
      at+=(--at "35@127.0.0.1:$(command_port "$n")/{\"command\":\"slow_down\",\"factor\":1}")
    done
    load slow.json 240 50 --retries 2 --trigger-begin 5 --trigger-end 35 "${at[@]}"
    report_recovery slow.json slowdown "$controls"
  done
}

bench_surge() {
  local controls
  for controls in on off; do
    restart_empty
    start_chain "$controls"
    load warm.json 240 4
    load surge.json 240 30 --retries 3 --trigger-begin 5 --trigger-end 15 --surge 4
    report_recovery surge.json surge "$controls"
  done
}

report_recovery() {
  local seconds
  seconds=$(jq 'if .recovery_ms == null then null else .recovery_ms / 1000 end' "$work/$1")
  if [ "$3" = on ]; then
    figure "recovery_s_after_$2" "$seconds" s 1 le
    figure "goodput_during_$2" "$(goodput "$1" during)" 1/s null none
  else
    figure "baseline_recovery_s_after_$2" "$seconds" s null none
    figure "baseline_goodput_during_$2" "$(goodput "$1" during)" 1/s null none
  fi
}

# Each front upstream leaves and returns in turn under load.
bench_drain() {
  restart_empty
  start_chain on
  load warm.json 150 4
  load drain.json 150 20 &
  local job=$!
  sleep 3
  for n in 1 2 3; do
    "$borageloft" drain --node "127.0.0.1:$(operators_port "$n")" > /dev/null
    sleep 2
    "$borageloft" drain --end --node "127.0.0.1:$(operators_port "$n")" > /dev/null
    sleep 2.5
  done
  wait "$job"
  figure cut_off_by_drain "$(jq '[.kinds[].before | .unknown + .damaged] | add' "$work/drain.json")" \
    count 0 le
  figure not_run_while_draining "$(jq '[.kinds[].before.not_run] | add' "$work/drain.json")" \
    count null none
}

bench_connections() {
  restart_empty
  local extra="[limits]
caller_connections = 1100"
  start_node 1 "$extra"
  start_node 2 "$extra"
  start_node 3 "$extra"
  start_stand_in 1 front --slots 1000 --connections 1000 --mean-ms 500 --shape fixed
  write_note
  sed -i -e '/^calls/d' -e 's/timeout = 500ms/timeout = 3s/' "$work/0001.ini"
  wait_for 30 "$borageloft" note submit "$work/0001.ini" --node "$operators"
  for n in 1 2 3; do wait_for 30 is_ready "$n"; done
  wait_for 30 has_upstreams front 1
  "$borageloft" load --target "127.0.0.1:$(callers_port 1)" --rate 1900 --duration 15 \
    --senders 1000 --json \
    --kind "label=browse,service=front,path=/list,timeout_ms=3000" > "$work/held.json" &
  local job=$!
  sleep 13
  local pid
  pid=$(pgrep -f "^$borageloftd --settings $work/node-1.ini")
  figure connections_held_callers "$(ss_count "$pid" "$(callers_port 1)")" count 1000 ge
  figure connections_held_upstream "$(stand_in_record 1 | jq .executing_now)" count null none
  figure node_threads "$(awk '/^Threads/ {print $2}' "/proc/$pid/status")" count null none
  figure node_rss_mb "$(awk '/^VmRSS/ {print $2 / 1024}' "/proc/$pid/status")" MB 128 le
  wait "$job"
}

# Established connections of a process on one of its own ports, from /proc.
ss_count() {
  local hex
  hex=$(printf '%04X' "$2")
  awk -v port=":$hex" '$4 == "01" && substr($2, 9) == port' "/proc/$1/net/tcp" | wc -l
}

parts=("$@")
[ "$#" -gt 0 ] || parts=(latency overload slowdown surge drain connections)
for part in "${parts[@]}"; do
  restart_empty
  "bench_$part"
done
