#!/usr/bin/env bash
# build-2.sh - builds the stand-ins of the cases 6 to 10 into review/support-2/.build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p support-2/.build
for name in list_and_servers slow_reader checking_callers; do
    cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "support-2/.build/$name" "support-2/$name.c"
done
