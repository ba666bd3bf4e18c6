#!/usr/bin/env bash
# setup.sh - installs the Debian packages that the build and the tests need.
# Does nothing if all are installed.
set -euo pipefail
packages="build-essential cmake ninja-build pkg-config clang clang-format
clang-tidy cppcheck libck-dev libtirpc-dev libmicrohttpd-dev
libcurl4-openssl-dev libglib2.0-dev libjansson-dev libxxhash-dev
libsodium-dev libhttp-parser-dev zlib1g-dev check librapidcheck-dev libclang-rt-14-dev gnuplot-nox curl
mandoc procps"
missing=""
for package in $packages; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
        missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing >/dev/null
