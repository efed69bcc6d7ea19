# Functions that start a small deployment on loopback and stop it again; sourced by other scripts.
# Needs: build (build folder). Sets: work (temporary folder), pids.

borageloft="$build/utilities/borageloft/borageloft"
borageloftd="$build/services/borageloftd/borageloftd"
work="$(mktemp -d /tmp/borageloft.XXXXXX)"
pids=()
base_port="${BASE_PORT:-21000}"
zones=(ne-north-a ne-south-a ne-north-b)
region=ne-north

stop_cluster() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
  [ -n "${KEEP_WORK:-}" ] || rm -rf "$work"
}
trap stop_cluster EXIT

# Ports of node N (from 1): callers, local, peers, operators.
callers_port() { echo $((base_port + 10 * $1)); }
local_port() { echo $((base_port + 10 * $1 + 1)); }
peers_port() { echo $((base_port + 10 * $1 + 2)); }
operators_port() { echo $((base_port + 10 * $1 + 3)); }
stand_in_port() { echo $((base_port + 10 * $1 + 4)); }
command_port() { echo $((base_port + 10 * $1 + 5)); }

# write_settings N [extra lines]: nodes 1 to 3 are control hosts, one in each zone.
write_settings() {
  local n=$1 data=""
  [ "$n" -le 3 ] && data="data = $work/data-$n"
  cat > "$work/node-$n.ini" <<INI
[node]
id = node-$n
region = $region
zone = ${zones[$(((n - 1) % 3))]}
$data
[listen]
callers = 127.0.0.1:$(callers_port "$n")
local = 127.0.0.1:$(local_port "$n")
peers = 127.0.0.1:$(peers_port "$n")
operators = 127.0.0.1:$(operators_port "$n")
[control]
peers = node-1/$region@127.0.0.1:$(peers_port 1), node-2/$region@127.0.0.1:$(peers_port 2), node-3/$region@127.0.0.1:$(peers_port 3)
${2:-}
INI
}

# start_node N [extra settings]: the process id is left in node_pid.
start_node() {
  [ -e "$work/node-$1.ini" ] || write_settings "$1" "${2:-}"
  "$borageloftd" --settings "$work/node-$1.ini" 2>> "$work/node-$1.log" &
  node_pid=$!
  pids+=("$node_pid")
}

# start_stand_in N SERVICE [options]: an upstream beside node N.
start_stand_in() {
  local n=$1 service=$2
  shift 2
  "$borageloft" stand-in --service "$service" --node "127.0.0.1:$(local_port "$n")" \
    --listen "127.0.0.1:$(stand_in_port "$n")" \
    --command-listen "127.0.0.1:$(command_port "$n")" "$@" > "$work/stand-in-$n.log" 2>&1 &
  stand_in_pid=$!
  pids+=("$stand_in_pid")
}

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting for: $*" >&2
      tail -n 3 "$work"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
}

is_ready() { curl -sf "http://127.0.0.1:$(local_port "$1")/readyz"; }

# count_upstreams SERVICE COUNT: whether node 1's registry lists that many as serving.
has_upstreams() {
  [ "$("$borageloft" upstreams "$1" --node "127.0.0.1:$(operators_port 1)" --json |
    jq '[.[] | select(.state == "serving")] | length')" -ge "$2" ]
}

# command_stand_in N JSON: sends a command to the upstream beside node N.
command_stand_in() {
  curl -sf -X POST -d "$2" "http://127.0.0.1:$(command_port "$1")/stand-in/command" > /dev/null
}

stand_in_record() { curl -sf "http://127.0.0.1:$(command_port "$1")/stand-in/record"; }
