#!/usr/bin/env bash
# Runs the fault soak over many seeds with real processes on loopback.
# Usage: meta/fault_soak.sh FIRST_SEED COUNT [SECONDS]; JOBS seeds run at once (default 1). Failed
# seeds keep their folder under /tmp.
set -euo pipefail
cd "$(dirname "$0")/.."
export build="${BUILD:-build}" seconds="${3:-10}"
run_seed() {
  # Seeds that run at once are close to each other, so their networks differ.
  "$build/tests/soak/fault_soak" --program "$build/services/borageloftd/borageloftd" \
    --seed "$1" --seconds "$seconds" --network $(($1 % 200 + 20)) || echo "seed $1 FAILED"
}
export -f run_seed
output=$(seq "$1" $(($1 + $2 - 1)) | xargs -P "${JOBS:-1}" -I{} bash -c 'run_seed {}' | tee /dev/stderr)
failed=$(grep -c 'FAILED$' <<<"$output" || true)
echo "$2 seeds, $failed failed"
[ "$failed" = 0 ]
