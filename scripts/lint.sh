#!/usr/bin/env bash
# lint.sh - checks the formatting and runs the static analysis. Prints each
# finding; fails if there is one.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
files=$(git ls-files '*.c' '*.h' '*.cc' | grep -v '^proto/gen/')
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files || failed=1
# shellcheck disable=SC2086
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
    --enable=warning,performance,portability --suppress=missingInclude \
    --suppress=normalCheckLevelMaxBranches -I include -I src -I proto \
    -j "$(nproc)" $(git ls-files 'src/*.c' 'tools/*.c') || failed=1
exit $failed
