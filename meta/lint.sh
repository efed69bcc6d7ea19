#!/usr/bin/env bash
# Checks format, public headers and the linter. Needs a configured build folder (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cc' '*.h')
clang-format --dry-run -Werror "${files[@]}"

# Only a library's public header may be included from outside its folder.
status=0
for file in "${files[@]}"; do
  own=$(echo "$file" | sed -nE 's#^(libraries|tests)/([^/]+)/.*#\2#p; s#^benchmarks/([^_]+)_.*#\1#p')
  while read -r library header; do
    if [ "$library" != "$header" ] && [ "$library" != "$own" ]; then
      echo "$file: includes private header libraries/$library/$header.h" >&2
      status=1
    fi
  done < <(sed -nE 's#^\#include "libraries/([^/]+)/([^/]+)\.h"#\1 \2#p' "$file")
done
# The names of the users' platform stay in its adapter and in the deploy files.
if git grep -nEi 'x-borageloft-|borageloft/rpc|borageloft/ready|app_addr|cold_left_ms"|heartbeat_addr|If-Match' \
    -- 'libraries/*.cc' 'libraries/*.h' 'services/*.cc' 'utilities/*.cc'; then
  echo "a name of the platform stands outside platform/" >&2
  status=1
fi
[ "$status" = 0 ] || exit 1

mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- \
  'libraries/*.cc' 'platform/*.cc' 'services/*.cc' 'utilities/*.cc')
# The result of each file is kept by a hash of the preprocessed file, so that an unchanged file is
# checked once on each machine.
cache="${XDG_CACHE_HOME:-$HOME/.cache}/borageloft-tidy"
mkdir -p "$cache"
export build cache
check_file() {
  local flags preprocessed key
  mapfile -t flags < <(jq -r --arg file "$PWD/$1" '.[] | select(.file == $file) | .command' \
    "$build/compile_commands.json" | tr ' ' '\n' |
    awk '/^-(D|I|std=)/ { print } /^-isystem$/ { print; getline; print }')
  # Without the build's flags the output ends at its first header, and a change behind it is missed.
  # -P leaves out the paths, so that checkouts in different folders share the results.
  if ! preprocessed=$(g++ "${flags[@]}" -E -P "$1"); then
    echo "$1: cannot be preprocessed" >&2
    return 1
  fi
  key=$( { printf '%s' "$preprocessed"; cat .clang-tidy; echo "$1"; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  clang-tidy -p "$build" --quiet "$1" 2>/dev/null && touch "$cache/$key"
}
export -f check_file
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check_file {}'
echo "lint: ${#files[@]} files clean"
