#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -I. -pthread)
g++ "${flags[@]}" -c review/stand_ins_2/deployment.cc -o target/review-2/deployment.o
for source in review/stand_ins_2/case_*.cc; do
  program=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" target/review-2/deployment.o -o "target/review-2/$program"
done
