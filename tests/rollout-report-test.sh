#!/usr/bin/env bash
# rollout-report-test.sh - tests scripts/rollout-report.awk with records that are made up.
# Guards against an experiment that passes although a bound was broken: each record
# below breaks one rule, and the report has to fail for that reason.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# The order is at 10000 ms, the deadline at 20000 ms. Of 1,000 requests, 60 of the new
# version fail from 12000 ms on, the 50th of them at 12490 ms.
make_records() {
    : >"$dir/shares.csv"
    awk -v servers="$dir/servers.csv" -v callers="$dir/callers.csv" 'BEGIN {
        for (i = 0; i < 1000; i++) {
            at = 10000 + i * 10
            bad = i >= 200 && i < 260
            method = i % 4 == 3 ? "POST" : "GET"
            version = bad ? "v2" : "v1"
            printf "%d,run,%s,i-%s,%s,q%d,,0\n%d,end,%s,i-%s,%s,q%d,%s,5\n", at, version, version, method, i,
                at, version, version, method, i, bad ? "failed" : "ok" >servers
            printf "%d,1,%s,q%d,%d,6\n", at, method, i, bad ? 500 : 200 >callers
        }
    }'
    printf '%s\n' 10000,ordered 10010,acknowledged 10100,running 14000,rolled_back 20000,rolled_back >"$dir/states.csv"
}

report() { # EXPECTED
    awk -v name=case -v expected="$1" -v ordered_at=10000 -v deadline=20000 -v unstable_ms=0 \
        -v csv="$dir/csv" -f scripts/rollout-report.awk "$dir/servers.csv" "$dir/callers.csv" \
        "$dir/states.csv" "$dir/shares.csv"
}

# check NAME EXPECTED STATUS TEXT: evaluates the records; the status and the text have
# to be these.
check() {
    local status=0
    report "$2" >"$dir/output" || status=$?
    if [ $status -ne "$3" ] || ! grep -q "$4" "$dir/output"; then
        echo "rollout-report-test: $1: status $status" >&2
        cat "$dir/output" >&2
        failed=1
    fi
    make_records
}

add_requests() { # COUNT AT
    awk -v n="$1" -v at="$2" 'BEGIN {for (i = 0; i < n; i++) print at ",run,v2,i-v2,GET,x" i ",,0"}' >>"$dir/servers.csv"
}

make_records
check "nothing is broken" rolled_back 0 "60 requests to the new version (150 allowed)"
check "another end" completed 1 "ended rolled_back instead of completed"
sed -i 's/^14000,.*/18000,running/' "$dir/states.csv"
check "a late rollback" rolled_back 1 "after the 50th bad answer"
sed -i '/rolled_back/d' "$dir/states.csv"
check "no end" rolled_back 1 "ended not at all"
sed -i 's/^20000,.*/20000,running/' "$dir/states.csv"
check "another state after the end" rolled_back 1 "state running was read after rolled_back"
add_requests 1 16001
check "a request 2 s after the rollback" rolled_back 1 "1 requests to the new version later than 2 s"
add_requests 1 15999
check "a request within 2 s" rolled_back 0 "61 requests"
add_requests 1 17491
check "a request 5 s after the 50th bad answer" rolled_back 1 "too long after its 50th bad answer"
add_requests 200 12000
check "too many requests" rolled_back 1 "260 requests to the new version, more than 170"
sed -i 's/,failed,/,ok,/' "$dir/servers.csv"
check "a bad version that is good" rolled_back 1 "gave no bad answer"
grep ',run,.*,POST,q7,' "$dir/servers.csv" >"$dir/again"
cat "$dir/again" >>"$dir/servers.csv"
check "a request that ran twice" rolled_back 1 "q7, which is not idempotent, ran twice"
sed -i 's/POST,q7,200/POST,q7,503/' "$dir/callers.csv"
check "a refused request that ran" rolled_back 1 "q7 was refused with 503 and has run"
sed -i 's/rolled_back/completed/; s/^14000/20100/; s/^20000/20200/' "$dir/states.csv"
check "a late completion" completed 1 "completed 100 ms after the deadline"
sed -i 's/rolled_back/completed/; s/^14000/20100/; s/^20000/20200/' "$dir/states.csv"
echo 19500,1.0000,completed >"$dir/shares.csv"
check "a completion that was read late" completed 0 "completed after"
: >"$dir/states.csv"
check "no state" completed 3 "not measured"
exit $failed
