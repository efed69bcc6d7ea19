#!/usr/bin/env bash
# Plays the days of one site on the users' bench and prints a table of them. Not part of CI.
# usage: meta/days.sh BENCH SITE WHY [HUNTED_DAYS]
# Days that break a rule are appended to deploy/failed-days.txt with the commit, for a cause.
set -euo pipefail
cd "$(dirname "$0")/.."
bench="$1"
site="$2"
why="$3"
hunted="${4:-0}"
report=$(mktemp)
"$bench" score "$site" --why "$why" | tee "$report"
if [ "$hunted" -gt 0 ]; then
  "$bench" hunt "$site" --days "$hunted" --why "$why" | tee -a "$report"
fi
echo
printf '%-34s %-6s %-6s %-6s %s\n' day score worth served notes
grep -E '^[a-z0-9-]+( --seed [0-9]+)? +[0-9]+/[0-9]+ ' "$report" |
  sed -E 's/ +[0-9]+\/[0-9]+ +/\t/; s/ {2,}/\t/' |
  awk -F'\t' '{ split($2, figures, " "); printf "%-34s %-6s %-6s %-6s %s\n", $1, figures[1], figures[2], figures[3], ($0 ~ /BROKEN/ ? "BROKEN" : "") }'
grep BROKEN "$report" | sed "s/^/$(git rev-parse --short HEAD) $(basename "$site") /" >> deploy/failed-days.txt || true
