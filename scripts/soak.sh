#!/usr/bin/env bash
# soak.sh [--seconds N] [--spare] SEED... - runs the soak test with injected
# faults once per seed, for N seconds each (default: 10). With --spare, control
# hosts are replaced as planned. Keeps the logs and data of a failed seed and
# prints their folder.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${SOAK_BUILD:-build}
seconds=10
if [ "${1:-}" = --seconds ]; then
    seconds=$2
    shift 2
fi
spare=()
if [ "${1:-}" = --spare ]; then
    spare=(--spare)
    shift
fi
if [ $# -eq 0 ]; then
    echo "usage: soak.sh [--seconds N] [--spare] SEED..." >&2
    exit 2
fi
failed=0
for seed in "$@"; do
    dir=$(mktemp -d)
    if "$build/tools/bbl-soak" --program "$build/baobablatch" \
        --folder "$dir" --seed "$seed" --seconds "$seconds" "${spare[@]}"; then
        rm -rf "$dir"
    else
        failed=$((failed + 1))
        echo "soak: seed $seed failed; its logs are in $dir" >&2
    fi
done
[ "$failed" -eq 0 ]
