#!/usr/bin/env bash
# Measures how long a release note takes until it is in force on N real nodes on loopback, and what
# the control work costs each node. Usage: meta/bench_dissemination.sh [nodes], 100 without it and
# 300 at most. Prints one JSON line per figure. BUILD names the build folder.
# INTERVAL is the pause between notes in seconds. Control work depends on the rate of notes: the
# default of 5 s is the rate of 17,000 changes a day.
# A note's time runs from the start of `borageloft note submit --wait` to its end, so it includes
# two starts of a connection and up to 50 ms until the next look at the status.
set -euo pipefail
cd "$(dirname "$0")/.."
nodes="${1:-100}"
build="${BUILD:-build}"
interval="${INTERVAL:-5}"
if ! [[ "$nodes" =~ ^[0-9]+$ ]] || [ "$nodes" -lt 3 ] || [ "$nodes" -gt 300 ]; then
  echo "usage: $0 [nodes], from 3 to 300" >&2
  exit 2
fi
notes=20
first_port=12000 # Below the ephemeral ports, which other programs may hold.
start_limit_s=90
daemon="$build/services/borageloftd/borageloftd"
client="$build/utilities/borageloft/borageloft"
folder=$(mktemp -d)
pids=()

stop() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    local running=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && running=1 && break; done
    [ "$running" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$folder"
}
trap stop EXIT

port() { echo $((first_port + 4 * $1 + $2)); }

write_settings() {
  cat <<SETTINGS
[node]
id = node-$1
region = bench
zone = bench-$(($1 % 3))
$([ "$1" = 0 ] && echo "data = $folder/data")

[listen]
callers = 127.0.0.1:$(port "$1" 0)
local = 127.0.0.1:$(port "$1" 1)
peers = 127.0.0.1:$(port "$1" 2)
operators = 127.0.0.1:$(port "$1" 3)

[control]
peers = node-0/bench@127.0.0.1:$(port 0 2)

[limits]
caller_connections = 4
workers = 2

[transport]
io_threads = 1

[requests]
drain_timeout = 1s

[log]
level = warning
SETTINGS
}

status_members() { # Prints each value of a member of the control host's status.
  "$client" status --node "127.0.0.1:$(port 0 3)" --json 2>/dev/null |
    sed -nE "s/^ *\"$1\" : \"?([0-9]+).*/\1/p"
}

# Prints "<clock ticks> <resident KiB> <control bytes sent>" of each node.
sample() {
  local index stat
  for index in $(seq 0 $((nodes - 1))); do
    stat=$(sed 's/.*) //' "/proc/${pids[$index]}/stat")
    echo "$(echo "$stat" | cut -d' ' -f12,13 | tr ' ' '+' | bc)" \
      "$(awk '/^VmRSS/ {print $2}' "/proc/${pids[$index]}/status")" \
      "$(curl -s --max-time 5 "http://127.0.0.1:$(port "$index" 1)/metrics" |
        awk '/value="control_bytes_sent"/ {printf "%d", $2}')"
  done
}

figure() { # name value unit bound statistic
  awk -v name="$1" -v value="$2" -v unit="$3" -v bound="$4" -v statistic="$5" -v nodes="$nodes" \
    'BEGIN {printf "{\"name\":\"%s\",\"statistic\":\"%s\",\"nodes\":%d,\"value\":%s,\"unit\":\"%s\",\"bound\":%s,\"holds\":%s}\n",
            name, statistic, nodes, value, unit, bound, (value + 0 <= bound + 0) ? "true" : "false"}'
}

mkdir "$folder/data"
for index in $(seq 0 $((nodes - 1))); do
  write_settings "$index" >"$folder/$index.ini"
  "$daemon" --settings "$folder/$index.ini" >"$folder/$index.out" 2>"$folder/$index.log" &
  pids+=($!)
done

end=$((SECONDS + start_limit_s))
known=0
while [ "$known" -lt "$nodes" ]; do
  known=$(status_members nodes | paste -sd+ | bc || true)
  known="${known:-0}"
  if [ "$SECONDS" -ge "$end" ]; then
    echo "only $known of $nodes nodes were known after $start_limit_s s" >&2
    tail -n 3 "$folder"/*.log >&2 || true
    exit 1
  fi
  sleep 0.5
done
sleep 12 # A node asks for its position every 10 s; the tree has its shape after that.

sample >"$folder/before"
began=$(date +%s%N)
for number in $(seq "$notes"); do
  printf '[note]\nnumber = %d\nauthor = bench\n\n[added service bench-%d]\ntimeout = 1s\n' \
    "$number" "$number" >"$folder/note.ini"
  from=$(date +%s%N)
  if ! "$client" note submit "$folder/note.ini" --wait --timeout 30 \
    --node "127.0.0.1:$(port 0 3)" >"$folder/submit.log" 2>&1; then
    echo "note $number is not in force after 30 s" >&2
    cat "$folder/submit.log" >&2
  fi
  echo $(($(date +%s%N) - from)) >>"$folder/times"
  sleep "$interval"
done
sample >"$folder/after"
seconds=$(awk -v from="$began" -v to="$(date +%s%N)" 'BEGIN {print (to - from) / 1e9}')

percentile() { # Nearest rank.
  sort -n "$folder/times" | awk -v share="$1" '{value[NR] = $1 / 1e9}
    END {rank = int(share * NR + 0.9999); printf "%.3f", value[rank]}'
}
figure note_in_force_s "$(percentile 0.50)" s 1 p50
figure note_in_force_s "$(percentile 0.99)" s 1 p99

paste "$folder/before" "$folder/after" |
  awk -v seconds="$seconds" -v ticks="$(getconf CLK_TCK)" '
    {cpu = ($4 - $1) / ticks / seconds * 100; rss = $5 / 1024; bytes = ($6 - $3) / seconds
     cpu_sum += cpu; rss_sum += rss; bytes_sum += bytes
     if (cpu > cpu_max) cpu_max = cpu; if (rss > rss_max) rss_max = rss
     if (bytes > bytes_max) bytes_max = bytes}
    END {printf "%.2f %.2f\n%.1f %.1f\n%.0f %.0f\n", cpu_sum / NR, cpu_max, rss_sum / NR, rss_max,
         bytes_sum / NR, bytes_max}' >"$folder/costs"
while read -r name unit bound mean maximum; do
  figure "$name" "$mean" "$unit" "$bound" mean
  figure "$name" "$maximum" "$unit" "$bound" maximum
done < <(paste -d' ' <(printf 'control_cpu_percent %% 1.4\ncontrol_rss_mb MB 128\ncontrol_bytes_per_s B/s 5000\n') \
  "$folder/costs")
echo "{\"name\":\"load_average\",\"nodes\":$nodes,\"value\":$(cut -d' ' -f1 /proc/loadavg),\"cores\":$(nproc)}"
