#!/usr/bin/env bash
# fuzz.sh [RUNS] - builds the fuzzer of the decoders and runs it from a fixed
# seed for RUNS inputs (default: 200000).
set -euo pipefail
cd "$(dirname "$0")/.."
CC=clang CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DBBL_FUZZ=ON \
    -DBBL_SANITIZE=address,undefined >/dev/null
mkdir -p out/fuzz
ninja -C build-fuzz fuzz_decoders >out/fuzz.log ||
    { tail -40 out/fuzz.log; exit 1; }
build-fuzz/tests/fuzz_decoders -seed=1 -runs="${1:-200000}" -max_len=2048 \
    -rss_limit_mb=4096 -malloc_limit_mb=2048 -artifact_prefix=out/fuzz/ \
    -print_final_stats=0 out/fuzz tests/fuzz/corpus 2>out/fuzz.log ||
    { tail -40 out/fuzz.log; exit 1; }
