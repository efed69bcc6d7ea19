#!/usr/bin/env bash
# Kills control hosts and a node beside an upstream while requests and release notes arrive, and
# then compares what callers were told with what the upstreams recorded.
# Usage: meta/kill_test.sh [BUILD]. Ends only processes that it started; takes about a minute.
# PORT names the first of 28 loopback ports, RATE the requests a second, KEEP=1 keeps the folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build="$(realpath "${1:-build}")"
node_program="$build/services/borageloftd/borageloftd"
tool="$build/utilities/borageloft/borageloft"
first_port="${PORT:-$((20000 + (RANDOM % 1000) * 30))}"
rate="${RATE:-100}"
load_seconds=36
folder="$(mktemp -d)"
declare -A process_of=()

finish() {
  for name in "${!process_of[@]}"; do
    kill -KILL "${process_of[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "${KEEP:-0}" = 1 ]; then echo "kept: $folder" >&2; else rm -rf "$folder"; fi
}
trap finish EXIT

names=(c1 c2 c3 u1 u2 u3)
port() {  # port NAME callers|local|peers|operators
  local index=0 kind
  for kind in "${names[@]}"; do [ "$kind" = "$1" ] && break; index=$((index + 1)); done
  case "$2" in callers) kind=0 ;; local) kind=1 ;; peers) kind=2 ;; operators) kind=3 ;; esac
  echo $((first_port + index * 4 + kind))
}

write_settings() {
  local name="$1" data=""
  [[ "$name" == c* ]] && data="data = $folder/$name"
  cat >"$folder/$name.ini" <<SETTINGS
[node]
id = $name
region = test
zone = zone-${name:1}
$data
[listen]
callers = 127.0.0.1:$(port "$name" callers)
local = 127.0.0.1:$(port "$name" local)
peers = 127.0.0.1:$(port "$name" peers)
operators = 127.0.0.1:$(port "$name" operators)
[control]
peers = c1/test@127.0.0.1:$(port c1 peers), c2/test@127.0.0.1:$(port c2 peers), c3/test@127.0.0.1:$(port c3 peers)
SETTINGS
}

start_node() {
  "$node_program" --settings "$folder/$1.ini" 2>>"$folder/$1.log" &
  process_of[$1]=$!
}

kill_node() {
  kill -KILL "${process_of[$1]}"
  wait "${process_of[$1]}" 2>/dev/null || true
  unset "process_of[$1]"
}

operate() { local name="$1"; shift; "$tool" "$@" --node "127.0.0.1:$(port "$name" operators)"; }

# The control host that a living one names as the leader; waits for it for 20 s at most.
find_leader() {
  local leader name
  for _ in $(seq 100); do
    for name in c1 c2 c3; do
      [ -n "${process_of[$name]:-}" ] || continue
      leader=$(operate "$name" status --json --timeout 1 2>/dev/null |
        grep -oE '"control_leader" *: *"c[123]"' | grep -oE 'c[123]' || true)
      if [ -n "$leader" ] && [ -n "${process_of[$leader]:-}" ]; then echo "$leader"; return; fi
    done
    sleep 0.2
  done
  echo "no leader within 20 s" >&2
  return 1
}

now_ms() { date +%s%3N; }

note_number=0
accepted=()
# Submits the next note to a living control host until it is accepted; 30 s at most.
submit_note() {
  local end=$(($(now_ms) + 30000)) name
  note_number=$((note_number + 1))
  local file="$folder/note-$note_number.ini"
  { printf '[note]\nnumber = %d\nauthor = kill-test\n' "$note_number"
    if [ "$note_number" = 1 ]; then
      printf '[added service pay]\nidempotent = no\ntimeout = 2s\n'
    fi
    printf '[changed limit queue_length]\nvalue = %d\n' $((100 + note_number)); } >"$file"
  while [ "$(now_ms)" -lt "$end" ]; do
    for name in c1 c2 c3; do
      [ -n "${process_of[$name]:-}" ] || continue
      if operate "$name" note submit "$file" --timeout 3 2>>"$folder/submit.log"; then
        accepted+=("$note_number")
        return
      fi
    done
    sleep 0.05
  done
  echo "note $note_number was not accepted within 30 s" >&2
  return 1
}

for name in "${names[@]}"; do
  write_settings "$name"
  start_node "$name"
done
for i in 1 2 3; do
  "$tool" stand-in --service pay --node "127.0.0.1:$(port "u$i" local)" --mean-ms 5 --slots 16 \
    --lease-ms 2000 --record "$folder/executed-$i" >"$folder/stand-in-$i.log" 2>&1 &
  process_of[stand-in-$i]=$!
done
find_leader >/dev/null
submit_note
sleep 3

targets=()
for name in "${names[@]}"; do targets+=(--target "127.0.0.1:$(port "$name" callers)"); done
"$tool" load "${targets[@]}" --rate "$rate" --duration "$load_seconds" --retries 3 --senders 64 \
  --kind label=pay,service=pay,method=POST,path=/claims,key=yes,timeout_ms=2000,body=32 \
  --record "$folder/told" --json >"$folder/load.json" 2>"$folder/load.log" &
load=$!
process_of[load]=$load

failover_ms=0
kill_leader() {
  local leader begun
  leader="$(find_leader)"
  kill_node "$leader"
  begun=$(now_ms)
  submit_note
  local took=$(($(now_ms) - begun))
  [ "$took" -gt "$failover_ms" ] && failover_ms=$took
  sleep 1
  start_node "$leader"
}

sleep 2
submit_note
kill_leader
sleep 3
kill_node u1
submit_note
sleep 1
start_node u1
sleep 3
kill_leader
sleep 3
# Two of three: no quorum until one is back.
kill_node c2
kill_node c3
sleep 2
start_node c2
submit_note
start_node c3
sleep 3
kill_leader
wait "$load" || true
unset "process_of[load]"
find_leader >/dev/null
sleep 2

touch "$folder/told"
cut -d' ' -f1 "$folder"/executed-* | sort >"$folder/executed"
sort -u "$folder/executed" >"$folder/executed-once"
doubled=$(uniq -d "$folder/executed" | wc -l)
awk '$2 == "not-run" { print $1 }' "$folder/told" | sort -u >"$folder/told-not-run"
false_not_run=$(comm -12 "$folder/told-not-run" "$folder/executed-once" | wc -l)
lost=0
for name in c1 c2 c3; do
  operate "$name" note history --json >"$folder/history-$name.json" || true
  for number in "${accepted[@]}"; do
    grep -qE "\"number\" *: *$number\b" "$folder/history-$name.json" || lost=$((lost + 1))
  done
done
awk '{ print $2 }' "$folder/told" | sort | uniq -c | tr '\n' ' ' >&2
echo "executed $(wc -l <"$folder/executed") notes ${#accepted[@]} load $(cut -d' ' -f1-3 /proc/loadavg)" >&2

verdict=0
print_figure() {  # print_figure NAME VALUE UNIT BOUND
  local holds=true
  awk "BEGIN { exit !($2 > $4) }" && holds=false && verdict=1
  printf '{"name":"%s","value":%s,"unit":"%s","bound":%s,"holds":%s}\n' "$1" "$2" "$3" "$4" "$holds"
}
print_figure doubled_runs "$doubled" count 0
print_figure false_not_run "$false_not_run" count 0
print_figure lost_notes "$lost" count 0
print_figure failover_s "$(awk "BEGIN { print $failover_ms / 1000 }")" s 2
# A run in which nothing was carried out shows nothing.
if [ "$(wc -l <"$folder/executed")" -lt $((rate * load_seconds / 10)) ]; then
  echo "too few requests were carried out for a verdict" >&2
  verdict=1
fi
exit "$verdict"
