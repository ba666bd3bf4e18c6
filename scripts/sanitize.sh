#!/usr/bin/env bash
# sanitize.sh address|thread - builds with a sanitizer, then runs the demo,
# whose daemons share memory between threads, and the forward test. With
# "address" it first runs unit tests, and property tests with fewer cases.
set -uo pipefail
cd "$(dirname "$0")/.."
kind=$1
build=build-$kind
mkdir -p out
case $kind in
address) flags="-DBBL_SANITIZE=address,undefined" ;;
thread) flags="-DBBL_SANITIZE=thread -DCMAKE_C_FLAGS=-DCK_USE_CC_BUILTINS" ;;
*) echo "usage: sanitize.sh address|thread" >&2; exit 2 ;;
esac
# shellcheck disable=SC2086
cmake -S . -B "$build" -G Ninja -DBBL_WERROR=OFF $flags >/dev/null || exit 1
ninja -C "$build" --quiet >/dev/null || exit 1
log=out/$kind.log
: >"$log"
failed=0
if [ "$kind" = address ]; then
    export UBSAN_OPTIONS=halt_on_error=1
    for name in util lists journal gather routing platform http_message \
        forward_policy forwarder forward_schedules rate_limit permit_book repeated_crashes crash_ledger mesh searcher_client edge \
        backend_link voter_plan voter_balance exit_plan control_join publisher rows observer lost_links operator_api order pressure load_gate load_book load_pressure \
        key_index caller_identity organisations delegation_field gateway \
        admission admission_messages quota; do
        "$build/tests/test_$name" >>"$log" 2>&1 || failed=1
    done
    RC_PARAMS="seed=1 max_success=60" "$build/tests/property_control" >>"$log" 2>&1 || failed=1
    RC_PARAMS="seed=1 max_success=300" "$build/tests/property_traffic" >>"$log" 2>&1 || failed=1
    RC_PARAMS="seed=1 max_success=60" "$build/tests/property_quota" >>"$log" 2>&1 || failed=1
fi
export TSAN_OPTIONS="log_path=$PWD/out/tsan exitcode=66 suppressions=$PWD/scripts/tsan.supp"
export ASAN_OPTIONS="log_path=$PWD/out/asan"
rm -f out/tsan.* out/asan.*
CLUSTER_BIN=$PWD/$build CLUSTER_PORT=24000 scripts/demo.sh >>"$log" 2>&1 || failed=1
scripts/forward-test.sh "$build" >>"$log" 2>&1 || failed=1
for report in out/tsan.* out/asan.*; do
    [ -e "$report" ] && { cat "$report" >>"$log"; failed=1; }
done
[ $failed -eq 0 ] || tail -60 "$log"
exit $failed
