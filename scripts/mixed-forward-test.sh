#!/usr/bin/env bash
# mixed-forward-test.sh [BUILD] - runs forward-test.sh with hosts of this build
# and of each revision in scripts/upgrade-base side by side, in both roles and
# on each other's data.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
while read -r base; do
    tree=$build/upgrade-base/$base
    if [ ! -x "$tree/build/baobablatch" ]; then
        mkdir -p "$tree"
        git archive "$base" | tar -x -C "$tree"
        cmake -S "$tree" -B "$tree/build" -G Ninja -DBBL_TESTS=OFF >/dev/null
        ninja -C "$tree/build" --quiet baobablatch
    fi
    echo "beside $base"
    scripts/forward-test.sh "$build" "$tree/build/baobablatch"
done <scripts/upgrade-base
