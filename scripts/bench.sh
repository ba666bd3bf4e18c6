#!/usr/bin/env bash
# bench.sh - measures the promises: `bench.sh quick` (90 s at most) or
# `bench.sh full` (10 min at most). One line a figure: name, value, bound,
# PASS or FAIL. Files go to out/. `bench.sh run SCENARIO...` runs some only.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
CLUSTER_BIN=${CLUSTER_BIN:-$root/build}
CLUSTER_PORT=${CLUSTER_PORT:-22000}
OUT=$root/out
mkdir -p "$OUT"
. "$root/scripts/cluster.sh"
fails=0

# figure NAME VALUE OPERATOR BOUND: prints and judges; OPERATOR "-" has no bound.
figure() {
    local verdict=PASS
    if [ "$3" = - ]; then
        printf '%-44s %14s\n' "$1" "$2" | tee -a "$OUT/figures.txt"
        return
    fi
    if ! awk -v a="$2" -v b="$4" -v op="$3" 'BEGIN {
        if (a == "") exit 1
        exit !((op == "<=" && a <= b) || (op == ">=" && a >= b) || (op == "==" && a == b))
    }'; then
        verdict=FAIL
        fails=$((fails + 1))
    fi
    printf '%-44s %14s  %s %-10s %s\n' "$1" "$2" "$3" "$4" "$verdict" |
        tee -a "$OUT/figures.txt"
}

field() { # field NAME < line of key=value
    grep -oE "(^| )$1=[^ ]*" | head -1 | cut -d= -f2
}
stat_of() { grep -oE "\"$1\":[0-9]+" | head -1 | cut -d: -f2; }
ms() { awk -v us="$1" 'BEGIN { printf "%.1f", us / 1000 }'; }
now_ms() { date +%s%3N; }

# begin PROFILE HOSTS [STANDIN OPTION...]: stand-in, daemons and lists.
begin() {
    local profile=$1 n
    HOSTS=$2
    shift 2
    CLUSTER_DIR=$(mktemp -d)
    cluster_init
    start_standin "$profile" "$@"
    for n in $(seq 1 "$HOSTS"); do start_daemon "$n" ${DAEMON_OPTIONS:-}; done
    BAOBABLATCH_ADMIN=$(daemon_list daemon_admin "$HOSTS")
    export BAOBABLATCH_ADMIN
    TARGETS=$(daemon_list daemon_http "$HOSTS")
    wait_for operator lists apply --expected 0 --change first --no-wait \
        "$root/examples/plans.conf" "$root/examples/allowances.conf"
    for n in $(seq 1 "$HOSTS"); do wait_for daemon_ready "$n"; done
    wait_for whole_answer
    sleep 1
    standin_fault reset
}
whole_answer() {
    operator query --http "$(daemon_http 1)" '{"request_id":"w","customer":"temple-north","deadline_ms":1000,"shards":"all","query":"w"}' |
        grep -q '"missing":\[\]'
}
finish() {
    cluster_kill
    rm -rf "$CLUSTER_DIR"
}
load() { # load LABEL RATE SECONDS [OPTION...]
    local label=$1 rate=$2 seconds=$3
    shift 3
    "$CLUSTER_BIN/tools/bbl-load" --targets "$TARGETS" --rate "$rate" \
        --seconds "$seconds" --label "$label" --deadline-ms 250 "$@" |
        tee -a "$OUT/loads.txt"
}
# Checks every answer and the stand-in's own counts.
truth() { # truth NAME LOAD-LINE
    local stats
    stats=$(standin_stats)
    figure "$1 mixed snapshots" "$(field mixed <<<"$2")" == 0
    figure "$1 wrong coverage" "$(field bad_coverage <<<"$2")" == 0
    figure "$1 foreign results" "$(field wrong_result <<<"$2")" == 0
    figure "$1 over-limit dispatches" "$(stat_of over_slots <<<"$stats")" == 0
    figure "$1 over-limit cold dispatches" "$(stat_of over_cold <<<"$stats")" == 0
    figure "$1 over-limit connections" "$(stat_of over_connections <<<"$stats")" == 0
    figure "$1 second runs" "$(stat_of second_runs <<<"$stats")" == 0
    figure "$1 work after leaving" "$(stat_of after_leaving <<<"$stats")" == 0
}
extra_load() { # from the daemons' counters: exchanges over first sub-requests
    local n
    for n in $(seq 1 "$HOSTS"); do
        curl -s "http://$(daemon_http "$n")/v1/metrics"
    done | awk '/^baobablatch_exchanges_total/ { e += $2 }
                /^baobablatch_first_sends_total/ { f += $2 }
                END { printf "%.4f", f ? e / f - 1 : 0 }'
}
cpu_per_sub() {
    local n
    for n in $(seq 1 "$HOSTS"); do
        curl -s "http://$(daemon_http "$n")/v1/metrics"
    done | awk '/^baobablatch_first_sends_total/ { f += $2 }
                /^baobablatch_process_cpu_us_total/ { c += $2 }
                END { printf "%.1f", f ? c / f : 0 }'
}

# 80% of slot time: rate x (5 ms + 1% of 200 ms) = 0.8 x slots of a small shard.
rate_of() { [ "$1" = association ] && echo 457 || echo 685; }

steady() { # steady PROFILE POLICY SECONDS
    local line
    DAEMON_OPTIONS="--policy $2" begin "$1" 8 --service-us 5000 \
        --straggle-ppm 10000 --straggle-ms 200
    line=$(load "$1-$2" "$(rate_of "$1")" "$3" --warmup 3 \
        --csv "$OUT/latency-$1-$2.csv")
    if [ "$2" = owner ]; then
        figure "$1 p50 ms" "$(ms "$(field p50_us <<<"$line")")" -
        figure "$1 p99 ms" "$(ms "$(field p99_us <<<"$line")")" "<=" 59
        figure "$1 coverage" "$(field coverage <<<"$line")" ">=" 1
        figure "$1 extra load" "$(extra_load)" "<=" 0.05
        figure "$1 not run" "$(field not_run <<<"$line")" == 0
        figure "$1 daemon CPU us a sub-request" "$(cpu_per_sub)" -
        truth "$1" "$line"
    else
        figure "$1 baseline p50 ms" "$(ms "$(field p50_us <<<"$line")")" -
        figure "$1 baseline p99 ms" "$(ms "$(field p99_us <<<"$line")")" -
        figure "$1 baseline coverage" "$(field coverage <<<"$line")" -
        figure "$1 baseline extra load" "$(extra_load)" -
        figure "$1 baseline over-limit dispatches" \
            "$(standin_stats | stat_of over_slots)" -
    fi
    finish
}

lost() { # one replica of every tenth shard is lost
    local line
    begin association 8 --service-us 5000 --straggle-ppm 10000
    standin_fault lose-tenth
    line=$(load lost-tenth 200 "$1" --warmup 2)
    figure "lost replicas coverage" "$(field coverage <<<"$line")" ">=" 0.999
    figure "lost replicas p99 ms" "$(ms "$(field p99_us <<<"$line")")" "<=" 59
    truth "lost replicas" "$line"
    finish
}

withdraw() { # a data centre goes out at a load that the rest can carry
    local line t0 t1 ago
    begin association 8 --service-us 5000 --straggle-ppm 10000
    line=$(load withdraw-before 228 3 --warmup 1)
    figure "withdraw p99 ms before" "$(ms "$(field p99_us <<<"$line")")" "<=" 59
    load withdraw-during 228 9 --warmup 0 >"$OUT/during.txt" &
    sleep 1
    sed '$a [data-centre dc3]\nstate = withdrawn' "$root/examples/allowances.conf" \
        >"$CLUSTER_DIR/out.conf"
    t0=$(now_ms)
    operator lists apply --expected 1 --change out "$root/examples/plans.conf" \
        "$CLUSTER_DIR/out.conf" >"$OUT/apply.txt"
    sleep 6
    t1=$(now_ms)
    ago=$(standin_stats | grep -oE '"data_centre":"dc3","searches":[0-9]+,"last_ms_ago":[0-9]+' | grep -oE '[0-9]+$')
    figure "withdraw last dispatch ms after" "$((t1 - t0 - ago))" "<=" 3000
    wait $! 2>/dev/null
    sleep 2.5
    line=$(cat "$OUT/during.txt")
    figure "withdraw p99 ms during" "$(ms "$(field p99_us <<<"$line")")" "<=" 59
    figure "withdraw coverage during" "$(field coverage <<<"$line")" ">=" 1
    figure "withdraw refused during" "$(field not_run <<<"$line")" == 0
    truth "withdraw" "$line"
    operator lists apply --expected 2 --change back "$root/examples/plans.conf" \
        "$root/examples/allowances.conf" >>"$OUT/apply.txt"
    line=$(load withdraw-after 228 4 --warmup 1)
    figure "withdraw p99 ms after" "$(ms "$(field p99_us <<<"$line")")" "<=" 59
    figure "withdraw refused after" "$(field not_run <<<"$line")" == 0
    truth "return" "$line"
    finish
}

rolling() { # every daemon is shut down gracefully and started again, at load
    local line n pid
    DAEMON_OPTIONS="--drain-lag-ms 600" begin association "$1" --service-us 5000
    load rolling 150 "$2" --warmup 1 --once-ppm 200000 --deadline-ms 500 >"$OUT/rolling.txt" &
    local loader=$!
    sleep 2
    for n in $(seq 1 "$1"); do
        pid=$(daemon_pid "$n")
        kill -TERM "$pid"
        wait "$pid"
        figure "rolling exit code of daemon $n" $? == 0
        start_daemon "$n" --drain-lag-ms 600
        wait_for daemon_ready "$n"
        sleep 0.5
    done
    wait $loader
    line=$(cat "$OUT/rolling.txt")
    figure "rolling requests cut off" "$(field broken <<<"$line")" == 0
    figure "rolling not run" "$(field not_run <<<"$line")" == 0
    figure "rolling unknown" "$(field unknown <<<"$line")" == 0
    figure "rolling incomplete" "$(field incomplete <<<"$line")" == 0
    truth "rolling" "$line"
    finish
}

crash() { # a daemon dies, another freezes, at load
    local line
    begin association 8 --service-us 5000
    load crash 150 12 --warmup 1 --once-ppm 100000 --deadline-ms 500 >"$OUT/crash.txt" &
    local loader=$!
    sleep 3
    daemon_kill 5
    sleep 3
    kill -STOP "$(daemon_pid 6)"
    sleep 3
    kill -CONT "$(daemon_pid 6)"
    wait $loader
    line=$(cat "$OUT/crash.txt")
    figure "crash coverage" "$(field coverage <<<"$line")" ">=" 0.999
    figure "crash p99 ms" "$(ms "$(field p99_us <<<"$line")")" -
    truth "crash" "$line"
    finish
}

faults() { # the brief's list of what fails, in one run at load
    local line
    begin association 8 --service-us 5000 --straggle-ppm 10000
    load faults 150 16 --warmup 1 --once-ppm 100000 --deadline-ms 500 >"$OUT/faults.txt" &
    local loader=$!
    sleep 2
    standin_fault "cold 5"; standin_fault "cold 9"; standin_fault "cold 12"
    sleep 1.5
    standin_fault "restart 20"; standin_fault "restart 33"
    sleep 1.5
    standin_fault "silence 0"
    sleep 1.5
    standin_fault "leave 40"; standin_fault "leave 51"
    sleep 2
    standin_fault "return 40"; standin_fault "return 51"
    standin_fault "roll 0 2"
    sleep 2
    standin_fault "drop 0 1"
    sleep 1.5
    standin_fault "repartition 0 3"
    sleep 1.5
    standin_fault "drop 0 2"
    wait $loader
    line=$(cat "$OUT/faults.txt")
    figure "faults coverage" "$(field coverage <<<"$line")" ">=" 0.999
    figure "faults p99 ms" "$(ms "$(field p99_us <<<"$line")")" -
    figure "faults searchers fallen over" "$(standin_stats | stat_of falls)" == 0
    truth "faults" "$line"
    finish
}

# in_force_times COUNT FIRST-VERSION: milliseconds from apply to "in force".
in_force_times() {
    local i t0
    for i in $(seq 0 $(($1 - 1))); do
        t0=$(now_ms)
        operator lists apply --expected $(($2 + i)) --change "t$2-$i" \
            "$root/examples/plans.conf" "$root/examples/allowances.conf" \
            >>"$OUT/apply.txt" 2>&1 || echo failed
        echo $(($(now_ms) - t0))
    done
}
quantile() { sort -n | awk -v q="$1" '{ a[NR] = $1 } END { i = int(NR * q); print a[i < NR ? i + 1 : NR] }'; }
voter_role() { operator status --admin "$(daemon_admin "$1")" | grep -oE '"role":"(leader|follower|candidate)"' | head -1; }
find_role() { # find_role leader|follower: a voter with that role
    local n
    for n in 1 2 3; do
        if voter_role "$n" 2>/dev/null | grep -q "$1"; then echo "$n"; return; fi
    done
}

changes() { # changes COUNT: accepted to in force, with faults
    local n t0
    begin demo 8 --service-us 3000
    figure "in force p99 ms, no fault" "$(in_force_times "$1" 1 | quantile 0.99)" "<=" 1000
    n=$(find_role follower)
    daemon_kill $n
    figure "in force ms, follower killed" "$(in_force_times 1 $(($1 + 1)))" "<=" 3000
    start_daemon "$n"
    wait_for daemon_ready "$n"
    n=$(find_role leader)
    daemon_kill $n
    figure "in force ms, leader killed" "$(in_force_times 1 $(($1 + 2)))" "<=" 3000
    start_daemon "$n"
    wait_for daemon_ready "$n"
    kill -STOP "$(daemon_pid 8)"
    figure "in force ms, a daemon silent" "$(in_force_times 1 $(($1 + 3)))" "<=" 3000
    kill -CONT "$(daemon_pid 8)"
    n=$(find_role leader)
    kill -STOP "$(daemon_pid "$n")"
    figure "in force ms, leader frozen" "$(in_force_times 1 $(($1 + 4)))" "<=" 3000
    sleep "${2:-1}"
    kill -CONT "$(daemon_pid "$n")"
    for n in 1 2 3; do
        # Each voter in turn dies while a change is made.
        daemon_kill $n
        in_force_times 1 $(($1 + 4 + n)) >/dev/null
        start_daemon "$n"
        wait_for daemon_ready "$n"
    done
    figure "versions lost or reverted" \
        "$(($(operator lists show | head -1 | grep -oE '[0-9]+') - $1 - 8))" == 0
    t0=$(now_ms)
    daemon_kill 2
    start_daemon 2
    wait_for daemon_ready 2
    figure "restart to ready ms after $(($1 + 8)) changes" "$(($(now_ms) - t0))" "<=" 2000
    finish
}

many_changes() { # restart after many changes
    local t0 v
    begin demo 3 --service-us 3000
    for v in $(seq 1 "$1"); do
        operator lists apply --no-wait --expected "$v" --change "m$v" \
            "$root/examples/plans.conf" "$root/examples/allowances.conf" >>"$OUT/apply.txt" 2>&1
    done
    for n in 1 2 3; do daemon_kill $n; done
    sleep 0.2
    t0=$(now_ms)
    for n in 1 2 3; do start_daemon "$n"; done
    for n in 1 2 3; do wait_for daemon_ready "$n"; done
    figure "all restarted to ready ms, $1 changes" "$(($(now_ms) - t0))" "<=" 2000
    figure "version after restart" \
        "$(operator lists show | head -1 | grep -oE '[0-9]+')" == $(($1 + 1))
    finish
}

e2e() { # whole processes under faults, singly and in pairs; no time is judged
    local line n v
    begin demo 5 --service-us 3000
    load e2e 40 14 --warmup 0 --once-ppm 200000 --deadline-ms 2000 >"$OUT/e2e.txt" &
    local loader=$!
    sleep 1
    standin_fault "cold 1"; standin_fault "restart 4"
    sleep 1
    standin_fault "silence 0"; daemon_kill 4
    sleep 1
    standin_fault "leave 3"; start_daemon 4
    sleep 1
    n=$(find_role leader)
    daemon_kill "${n:-1}"; standin_fault "roll 0 2"
    operator lists apply --no-wait --expected 1 --change e1 \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" >>"$OUT/apply.txt" 2>&1
    sleep 1
    start_daemon "${n:-1}"; standin_fault "drop 0 1"; standin_fault "return 3"
    sleep 1
    kill -STOP "$(daemon_pid 5)"; standin_fault "repartition 0 3"
    sleep 2
    kill -CONT "$(daemon_pid 5)"; standin_fault "drop 0 2"; standin_fault "cold 0"
    wait $loader
    line=$(cat "$OUT/e2e.txt")
    truth "e2e" "$line"
    # A change that was resent gets its first outcome; a racing one loses.
    v=$(operator lists show | head -1 | grep -oE '[0-9]+')
    figure "e2e version after the leader's death" "$v" == 2
    operator lists apply --no-wait --expected 1 --change e1 \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" | grep -q 'accepted version 2'
    figure "e2e resend gets its first outcome" $? == 0
    operator lists apply --no-wait --expected 1 --change e2 \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" >"$OUT/race.txt" 2>&1
    grep -q 'present version is 2' "$OUT/race.txt"
    figure "e2e racing change is told the version" $? == 0
    wait_for whole_answer
    figure "e2e whole answers afterwards" $? == 0
    for n in 5 4 3 2 1; do
        kill -TERM "$(daemon_pid $n)"
        wait "$(daemon_pid $n)"
        figure "e2e exit code of daemon $n" $? == 0
    done
    finish
}

voter_replacement() { # a voter loses its disk; another is lost after the repair
    local v
    begin demo 4 --service-us 3000
    daemon_kill 3
    rm -rf "$CLUSTER_DIR/data3"
    CLUSTER_NO_INIT=1 start_daemon 3
    operator voter replace 3 3 "$(daemon_ip 3):$((CLUSTER_PORT + 3))" >"$OUT/voter.txt" 2>&1
    figure "voter replaced after a lost disk" $? == 0
    daemon_kill 2
    operator lists apply --expected 1 --change after \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" >>"$OUT/apply.txt" 2>&1
    figure "change accepted after a second loss" $? == 0
    v=$(operator lists show | head -1 | grep -oE '[0-9]+')
    figure "version after a second loss" "$v" == 2
    finish
}

control_cost() { # steady cost of control at 8 daemons, without queries
    local n c0 c1 b0 b1 rss=0 r
    begin association 8 --service-us 5000
    sleep 2
    dump_sum() { for n in $(seq 1 8); do operator dump --admin "$(daemon_admin "$n")"; done |
        grep -oE "\"$1\":[0-9]+" | cut -d: -f2 | awk '{ s += $1 } END { print s }'; }
    c0=$(dump_sum thread_cpu_us); b0=$(($(dump_sum mesh_bytes_sent) + $(dump_sum mesh_bytes_received)))
    sleep 8
    c1=$(dump_sum thread_cpu_us); b1=$(($(dump_sum mesh_bytes_sent) + $(dump_sum mesh_bytes_received)))
    for n in $(seq 1 8); do
        r=$(awk '/VmRSS/ { print $2 }' "/proc/$(daemon_pid "$n")/status")
        [ "$r" -gt "$rss" ] && rss=$r
    done
    figure "control CPU, % of a core a daemon" \
        "$(awk -v d=$((c1 - c0)) 'BEGIN { printf "%.2f", d / 8 / 8e6 * 100 }')" "<=" 2
    figure "control KB/s a daemon" \
        "$(awk -v d=$((b1 - b0)) 'BEGIN { printf "%.1f", d / 8 / 8 / 1000 }')" "<=" 27
    figure "resident MB, largest daemon" "$((rss / 1024))" "<=" 128
    finish
}

slopes() { "$CLUSTER_BIN/tools/bbl-slopes" | tee "$OUT/slopes.txt"; }

plots() {
    [ -s "$OUT/latency-association-owner.csv" ] || return 0
    gnuplot <<EOF
set terminal pngcairo size 900,500
set output "$OUT/latency.png"
set datafile separator ","
set xlabel "time, s"
set ylabel "latency, ms"
set yrange [0:300]
plot "$OUT/latency-association-owner.csv" using (\$1/1e6):(\$2/1e3) with dots title "owner", \
     59 title "target for 99 in 100"
EOF
}

: >"$OUT/figures.txt"
: >"$OUT/loads.txt"
began=$(date +%s)
case "${1:-quick}" in
quick)
    steady association owner 6
    changes 20 1
    withdraw
    ;;
full)
    for p in association vatuwaqa; do
        steady $p owner 15
        steady $p baseline 8
    done
    lost 8
    withdraw
    rolling 8 40
    crash
    faults
    voter_replacement
    changes 60 10
    many_changes 1000
    control_cost
    slopes
    plots
    ;;
run)
    shift
    for s in "$@"; do eval "$s"; done
    ;;
esac
echo "bench: $(($(date +%s) - began)) s, $fails figures out of bounds"
[ "$fails" -eq 0 ]
