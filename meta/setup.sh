#!/usr/bin/env bash
# Installs the packages that the build, the tests and the checks need, from Debian's archive.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-14 clang-format clang-tidy libclang-rt-14-dev
  libasio-dev libcpp-httplib-dev libhttp-parser-dev libjsonrpccpp-dev libmsgpack-cxx-dev libjsoncpp-dev libinih-dev
  libcli11-dev libfmt-dev prometheus-cpp-dev libxxhash-dev libgtest-dev libgmock-dev
  librapidcheck-dev libbenchmark-dev zlib1g-dev libssl-dev libbrotli-dev jq curl bsdextrautils
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
