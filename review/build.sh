#!/usr/bin/env bash
# build.sh - builds the stand-ins of the cases into review/.build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
for name in standin caller; do
    cc -std=gnu11 -O2 -Wall -Wextra -pthread -o ".build/$name" "support/$name.c"
done
