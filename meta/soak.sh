#!/usr/bin/env bash
# Runs each fuzz target and then the seeded randomised tests with more seeds than CI does.
# Usage: meta/soak.sh [seconds per fuzz target, default 20] [factor of seeds and steps, default 4]
# FUZZ_BUILD names the build folder of the fuzz targets, BUILD that of the tests, JOBS the compilers
# run at once. Inputs that fail are kept in the build folder of the fuzz targets.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-20}"
factor="${2:-4}"
fuzz_build="${FUZZ_BUILD:-build-fuzz}"
build="${BUILD:-build}"
jobs="${JOBS:-$(nproc)}"

cmake -S . -B "$fuzz_build" -G Ninja -DBORAGELOFT_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
mapfile -t targets < <(sed -nE 's/^ *borageloft_fuzz\(([a-z_]+) ([^ ]+).*/\1/p' tests/*/CMakeLists.txt)
ninja -C "$fuzz_build" -j "$jobs" "${targets[@]/%/_fuzz}" | grep -vE '^\[' || true

status=0
for target in "${targets[@]}"; do
  program=$(find "$fuzz_build/tests" -name "${target}_fuzz" -type f -perm -u+x | head -1)
  if [ -z "$program" ]; then
    echo "soak: fuzz $target: not built" >&2
    status=1
    continue
  fi
  corpus="tests/$(basename "$(dirname "$program")")/corpus"
  found="$fuzz_build/found-$target"
  mkdir -p "$found"
  if "$program" -max_total_time="$seconds" -max_len=65536 -rss_limit_mb=2048 -print_final_stats=1 \
      -artifact_prefix="$found/failure-" "$found" "$corpus" >"$found.log" 2>&1; then
    echo "soak: fuzz $target: $(sed -nE 's/^stat::number_of_executed_units: *//p' "$found.log") runs, no failure"
  else
    echo "soak: fuzz $target failed; see $found.log" >&2
    tail -20 "$found.log" >&2
    status=1
  fi
done

# The variables are documented in the test files that read them.
run_seeds() {
  local program="$build/tests/$1/$1_test"
  local filter="$2"
  shift 2
  if [ ! -x "$program" ]; then
    echo "soak: $program is not built" >&2
    status=1
  elif env "$@" "$program" --gtest_filter="$filter" >"$program.soak.log" 2>&1 &&
      grep -q '\[  PASSED  \] [1-9]' "$program.soak.log"; then
    echo "soak: $program $filter ($*): passed"
  else
    echo "soak: $program $filter ($*) failed; see $program.soak.log" >&2
    tail -20 "$program.soak.log" >&2
    status=1
  fi
}
run_seeds consensus '*Soak*' BORAGELOFT_SOAK_SEED=1000 BORAGELOFT_SOAK_SEEDS=$((24 * factor))
run_seeds membership '*Random*' BORAGELOFT_SEED=1000 BORAGELOFT_STEPS=$((1000000 * factor))
run_seeds dissemination '*Random*' BORAGELOFT_SEED=1000 BORAGELOFT_STEPS=$((2000000 * factor))
run_seeds decisions '*Random*' DECISIONS_SEED=1000 DECISIONS_SEEDS=$((20 * factor))
run_seeds ledger 'LedgerRunTest.*' LEDGER_SEEDS=$((20 * factor))
run_seeds storage '*SurvivesRandomFailures' STORAGE_SEEDS=$((40 * factor))
run_seeds routing 'RoutingModelTest.InvariantsHold*' BORAGELOFT_SEEDS=$((4 * factor))
exit "$status"
