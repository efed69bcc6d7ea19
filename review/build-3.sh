#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/*.cc; do
  [ -e "$case" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$case" review/harness-3/*.cc \
    -o "target/review-3/$(basename "$case" .cc)"
done
