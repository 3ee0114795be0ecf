#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail
packages=(
  build-essential cmake ninja-build pkg-config ccache
  clang-format clang-tidy
  libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev
  libwebsocketpp-dev nlohmann-json3-dev libtclap-dev libgoogle-glog-dev
  libtrompeloeil-cpp-dev catch2 libssl-dev
  gnuplot-nox python3 curl
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
