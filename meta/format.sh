#!/usr/bin/env bash
# Formats every source file in place.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.cc' '*.h' | xargs clang-format -i
