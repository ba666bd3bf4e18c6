#!/usr/bin/env bash
# build-3.sh - builds the stand-ins of the cases in review/11 to review/15 into
# target/review-3/. Needs a C compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in platform callers order link storm; do
    cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -o "target/review-3/$program" \
        "review/tools-3/$program.c" review/tools-3/http.c review/tools-3/exchange.c
done
