#!/usr/bin/env bash
# bench.sh - measures the tier and compares the figures with their bounds:
# `bench.sh quick` (90 s at most) or `bench.sh full` (10 min at most).
# `bench.sh run SCENARIO...` runs only the given scenarios, which are functions
# of this script with their arguments, such as "steady association owner 15".
# Prints one line per figure: name, value, bound, PASS or FAIL. Writes its files
# to out/. Fails if a figure is out of bounds.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
CLUSTER_BIN=${CLUSTER_BIN:-$root/build}
CLUSTER_PORT=${CLUSTER_PORT:-22000}
OUT=$root/out
mkdir -p "$OUT"
. "$root/scripts/cluster.sh"
failed_figures=0

# check_figure NAME VALUE OPERATOR BOUND: prints a figure and compares it with
# its bound. With "-" as OPERATOR there is no bound: the figure is only printed.
check_figure() {
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
        failed_figures=$((failed_figures + 1))
    fi
    printf '%-44s %14s  %s %-10s %s\n' "$1" "$2" "$3" "$4" "$verdict" |
        tee -a "$OUT/figures.txt"
}

# line_field NAME: reads a line of key=value pairs and prints one value.
line_field() {
    grep -oE "(^| )$1=[^ ]*" | head -1 | cut -d= -f2
}
# stat_value NAME: reads a JSON document and prints the first number with that
# name.
stat_value() { grep -oE "\"$1\":[0-9]+" | head -1 | cut -d: -f2; }
us_to_ms() { awk -v us="$1" 'BEGIN { printf "%.1f", us / 1000 }'; }
now_ms() { date +%s%3N; }

# start_tier PROFILE HOSTS [OPTION...]: starts the stand-in with the OPTIONs and
# HOSTS daemons with DAEMON_OPTIONS, and applies the first lists. Returns when
# queries get complete answers, with the counts of the stand-in reset.
start_tier() {
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
    wait_for complete_answer
    sleep 1
    standin_fault reset
}
complete_answer() {
    operator query --http "$(daemon_http 1)" '{"request_id":"w","customer":"temple-north","deadline_ms":1000,"shards":"all","query":"w"}' |
        grep -q '"missing":\[\]'
}
stop_tier() {
    cluster_kill
    rm -rf "$CLUSTER_DIR"
}
# run_load LABEL RATE SECONDS [OPTION...]: sends queries at RATE per second and
# prints the line of results. OPTIONs go to bbl-load.
run_load() {
    local label=$1 rate=$2 seconds=$3
    shift 3
    "$CLUSTER_BIN/tools/bbl-load" --targets "$TARGETS" --rate "$rate" \
        --seconds "$seconds" --label "$label" --deadline-ms 250 "$@" |
        tee -a "$OUT/loads.txt"
}
# check_invariants NAME LOAD-LINE: checks the figures that must be 0, from the
# answers that the load program checked and from the counts of the stand-in.
check_invariants() {
    local stats
    stats=$(standin_stats)
    check_figure "$1 mixed snapshots" "$(line_field mixed <<<"$2")" == 0
    check_figure "$1 wrong coverage" "$(line_field bad_coverage <<<"$2")" == 0
    check_figure "$1 foreign results" "$(line_field wrong_result <<<"$2")" == 0
    check_figure "$1 over-limit dispatches" "$(stat_value over_slots <<<"$stats")" == 0
    check_figure "$1 over-limit cold dispatches" "$(stat_value over_cold <<<"$stats")" == 0
    check_figure "$1 over-limit connections" "$(stat_value over_connections <<<"$stats")" == 0
    check_figure "$1 second runs" "$(stat_value second_runs <<<"$stats")" == 0
    check_figure "$1 work after leaving" "$(stat_value after_leaving <<<"$stats")" == 0
}
# Prints the extra load: the ratio of exchanges to first sends of sub-requests,
# minus 1, from the metrics of the daemons.
extra_load() {
    local n
    for n in $(seq 1 "$HOSTS"); do
        curl -s "http://$(daemon_http "$n")/v1/metrics"
    done | awk '/^baobablatch_exchanges_total/ { e += $2 }
                /^baobablatch_first_sends_total/ { f += $2 }
                END { printf "%.4f", f ? e / f - 1 : 0 }'
}
# Prints the CPU time of the daemons per first send of a sub-request, in us.
cpu_per_sub_request() {
    local n
    for n in $(seq 1 "$HOSTS"); do
        curl -s "http://$(daemon_http "$n")/v1/metrics"
    done | awk '/^baobablatch_first_sends_total/ { f += $2 }
                /^baobablatch_process_cpu_us_total/ { c += $2 }
                END { printf "%.1f", f ? c / f : 0 }'
}

# Prints the rate of queries per second that uses 80% of the slot time:
# rate x (5 ms + 1% of 200 ms) = 0.8 x slots of a small shard.
query_rate() { [ "$1" = association ] && echo 457 || echo 685; }

# steady PROFILE POLICY SECONDS: constant load with stragglers. The policy
# "baseline" is measured for comparison and has no bounds.
steady() {
    local line
    DAEMON_OPTIONS="--policy $2" start_tier "$1" 8 --service-us 5000 \
        --straggle-ppm 10000 --straggle-ms 200
    line=$(run_load "$1-$2" "$(query_rate "$1")" "$3" --warmup 3 \
        --csv "$OUT/latency-$1-$2.csv")
    if [ "$2" = owner ]; then
        check_figure "$1 p50 ms" "$(us_to_ms "$(line_field p50_us <<<"$line")")" -
        check_figure "$1 p99 ms" "$(us_to_ms "$(line_field p99_us <<<"$line")")" "<=" 59
        check_figure "$1 coverage" "$(line_field coverage <<<"$line")" ">=" 1
        check_figure "$1 extra load" "$(extra_load)" "<=" 0.05
        check_figure "$1 not run" "$(line_field not_run <<<"$line")" == 0
        check_figure "$1 daemon CPU us a sub-request" "$(cpu_per_sub_request)" -
        check_invariants "$1" "$line"
    else
        check_figure "$1 baseline p50 ms" "$(us_to_ms "$(line_field p50_us <<<"$line")")" -
        check_figure "$1 baseline p99 ms" "$(us_to_ms "$(line_field p99_us <<<"$line")")" -
        check_figure "$1 baseline coverage" "$(line_field coverage <<<"$line")" -
        check_figure "$1 baseline extra load" "$(extra_load)" -
        check_figure "$1 baseline over-limit dispatches" \
            "$(standin_stats | stat_value over_slots)" -
    fi
    stop_tier
}

# lost SECONDS: one replica of every tenth shard is lost.
lost() {
    local line
    start_tier association 8 --service-us 5000 --straggle-ppm 10000
    standin_fault lose-tenth
    line=$(run_load lost-tenth 200 "$1" --warmup 2)
    check_figure "lost replicas coverage" "$(line_field coverage <<<"$line")" ">=" 0.999
    check_figure "lost replicas p99 ms" "$(us_to_ms "$(line_field p99_us <<<"$line")")" "<=" 59
    check_invariants "lost replicas" "$line"
    stop_tier
}

# A data centre is withdrawn and returns, under a load that the others can carry.
withdraw() {
    local line start_ms end_ms last_dispatch_ago
    start_tier association 8 --service-us 5000 --straggle-ppm 10000
    line=$(run_load withdraw-before 228 3 --warmup 1)
    check_figure "withdraw p99 ms before" "$(us_to_ms "$(line_field p99_us <<<"$line")")" "<=" 59
    run_load withdraw-during 228 9 --warmup 0 >"$OUT/during.txt" &
    sleep 1
    sed '$a [data-centre dc3]\nstate = withdrawn' "$root/examples/allowances.conf" \
        >"$CLUSTER_DIR/out.conf"
    start_ms=$(now_ms)
    operator lists apply --expected 1 --change out "$root/examples/plans.conf" \
        "$CLUSTER_DIR/out.conf" >"$OUT/apply.txt"
    sleep 6
    end_ms=$(now_ms)
    last_dispatch_ago=$(standin_stats | grep -oE '"data_centre":"dc3","searches":[0-9]+,"last_ms_ago":[0-9]+' | grep -oE '[0-9]+$')
    check_figure "withdraw last dispatch ms after" "$((end_ms - start_ms - last_dispatch_ago))" "<=" 3000
    wait $! 2>/dev/null
    sleep 2.5
    line=$(cat "$OUT/during.txt")
    check_figure "withdraw p99 ms during" "$(us_to_ms "$(line_field p99_us <<<"$line")")" "<=" 59
    check_figure "withdraw coverage during" "$(line_field coverage <<<"$line")" ">=" 1
    check_figure "withdraw refused during" "$(line_field not_run <<<"$line")" == 0
    check_invariants "withdraw" "$line"
    operator lists apply --expected 2 --change back "$root/examples/plans.conf" \
        "$root/examples/allowances.conf" >>"$OUT/apply.txt"
    line=$(run_load withdraw-after 228 4 --warmup 1)
    check_figure "withdraw p99 ms after" "$(us_to_ms "$(line_field p99_us <<<"$line")")" "<=" 59
    check_figure "withdraw refused after" "$(line_field not_run <<<"$line")" == 0
    check_invariants "return" "$line"
    stop_tier
}

# rolling HOSTS SECONDS: each daemon in turn is shut down gracefully and started
# again, under load.
rolling() {
    local line n pid
    DAEMON_OPTIONS="--drain-lag-ms 600" start_tier association "$1" --service-us 5000
    run_load rolling 150 "$2" --warmup 1 --once-ppm 200000 --deadline-ms 500 >"$OUT/rolling.txt" &
    local load_pid=$!
    sleep 2
    for n in $(seq 1 "$1"); do
        pid=$(daemon_pid "$n")
        kill -TERM "$pid"
        wait "$pid"
        check_figure "rolling exit code of daemon $n" $? == 0
        start_daemon "$n" --drain-lag-ms 600
        wait_for daemon_ready "$n"
        sleep 0.5
    done
    wait $load_pid
    line=$(cat "$OUT/rolling.txt")
    check_figure "rolling requests cut off" "$(line_field broken <<<"$line")" == 0
    check_figure "rolling not run" "$(line_field not_run <<<"$line")" == 0
    check_figure "rolling unknown" "$(line_field unknown <<<"$line")" == 0
    check_figure "rolling incomplete" "$(line_field incomplete <<<"$line")" == 0
    check_invariants "rolling" "$line"
    stop_tier
}

# Under load, one daemon is killed and another is suspended for 3 s.
crash() {
    local line
    start_tier association 8 --service-us 5000
    run_load crash 150 12 --warmup 1 --once-ppm 100000 --deadline-ms 500 >"$OUT/crash.txt" &
    local load_pid=$!
    sleep 3
    daemon_kill 5
    sleep 3
    kill -STOP "$(daemon_pid 6)"
    sleep 3
    kill -CONT "$(daemon_pid 6)"
    wait $load_pid
    line=$(cat "$OUT/crash.txt")
    check_figure "crash coverage" "$(line_field coverage <<<"$line")" ">=" 0.999
    check_figure "crash p99 ms" "$(us_to_ms "$(line_field p99_us <<<"$line")")" -
    check_invariants "crash" "$line"
    stop_tier
}

# Faults of the searchers, one after the other, in one run under load.
faults() {
    local line
    start_tier association 8 --service-us 5000 --straggle-ppm 10000
    run_load faults 150 16 --warmup 1 --once-ppm 100000 --deadline-ms 500 >"$OUT/faults.txt" &
    local load_pid=$!
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
    wait $load_pid
    line=$(cat "$OUT/faults.txt")
    check_figure "faults coverage" "$(line_field coverage <<<"$line")" ">=" 0.999
    check_figure "faults p99 ms" "$(us_to_ms "$(line_field p99_us <<<"$line")")" -
    check_figure "faults searchers fallen over" "$(standin_stats | stat_value falls)" == 0
    check_invariants "faults" "$line"
    stop_tier
}

# in_force_times COUNT FIRST-VERSION: applies COUNT changes, the first on top of
# FIRST-VERSION, and prints for each the milliseconds until "in force".
in_force_times() {
    local i start_ms
    for i in $(seq 0 $(($1 - 1))); do
        start_ms=$(now_ms)
        operator lists apply --expected $(($2 + i)) --change "t$2-$i" \
            "$root/examples/plans.conf" "$root/examples/allowances.conf" \
            >>"$OUT/apply.txt" 2>&1 || echo failed
        echo $(($(now_ms) - start_ms))
    done
}
# quantile FRACTION: reads one number per line and prints the quantile.
quantile() { sort -n | awk -v q="$1" '{ a[NR] = $1 } END { i = int(NR * q); print a[i < NR ? i + 1 : NR] }'; }
voter_role() { operator status --admin "$(daemon_admin "$1")" | grep -oE '"role":"(leader|follower|candidate)"' | head -1; }
# find_role leader|follower: prints the number of a voter with that role.
find_role() {
    local n
    for n in 1 2 3; do
        if voter_role "$n" 2>/dev/null | grep -q "$1"; then echo "$n"; return; fi
    done
}

# changes COUNT [SECONDS]: time until changes are in force, without a fault and
# with a voter killed, a daemon silent, and the leader frozen. The leader stays
# frozen for SECONDS (default: 1) after the change is in force.
changes() {
    local n start_ms
    start_tier demo 8 --service-us 3000
    check_figure "in force p99 ms, no fault" "$(in_force_times "$1" 1 | quantile 0.99)" "<=" 1000
    n=$(find_role follower)
    daemon_kill $n
    check_figure "in force ms, follower killed" "$(in_force_times 1 $(($1 + 1)))" "<=" 3000
    start_daemon "$n"
    wait_for daemon_ready "$n"
    n=$(find_role leader)
    daemon_kill $n
    check_figure "in force ms, leader killed" "$(in_force_times 1 $(($1 + 2)))" "<=" 3000
    start_daemon "$n"
    wait_for daemon_ready "$n"
    kill -STOP "$(daemon_pid 8)"
    check_figure "in force ms, a daemon silent" "$(in_force_times 1 $(($1 + 3)))" "<=" 3000
    kill -CONT "$(daemon_pid 8)"
    n=$(find_role leader)
    kill -STOP "$(daemon_pid "$n")"
    check_figure "in force ms, leader frozen" "$(in_force_times 1 $(($1 + 4)))" "<=" 3000
    sleep "${2:-1}"
    kill -CONT "$(daemon_pid "$n")"
    for n in 1 2 3; do
        # Kills each voter in turn and applies a change without it.
        daemon_kill $n
        in_force_times 1 $(($1 + 4 + n)) >/dev/null
        start_daemon "$n"
        wait_for daemon_ready "$n"
    done
    check_figure "versions lost or reverted" \
        "$(($(operator lists show | head -1 | grep -oE '[0-9]+') - $1 - 8))" == 0
    start_ms=$(now_ms)
    daemon_kill 2
    start_daemon 2
    wait_for daemon_ready 2
    check_figure "restart to ready ms after $(($1 + 8)) changes" "$(($(now_ms) - start_ms))" "<=" 2000
    stop_tier
}

# many_changes COUNT: all voters are restarted after COUNT changes.
many_changes() {
    local start_ms v
    start_tier demo 3 --service-us 3000
    for v in $(seq 1 "$1"); do
        operator lists apply --no-wait --expected "$v" --change "m$v" \
            "$root/examples/plans.conf" "$root/examples/allowances.conf" >>"$OUT/apply.txt" 2>&1
    done
    for n in 1 2 3; do daemon_kill $n; done
    sleep 0.2
    start_ms=$(now_ms)
    for n in 1 2 3; do start_daemon "$n"; done
    for n in 1 2 3; do wait_for daemon_ready "$n"; done
    check_figure "all restarted to ready ms, $1 changes" "$(($(now_ms) - start_ms))" "<=" 2000
    check_figure "version after restart" \
        "$(operator lists show | head -1 | grep -oE '[0-9]+')" == $(($1 + 1))
    stop_tier
}

# Real processes under single faults and pairs of faults. No times are checked.
e2e() {
    local line n v
    start_tier demo 5 --service-us 3000
    run_load e2e 40 14 --warmup 0 --once-ppm 200000 --deadline-ms 2000 >"$OUT/e2e.txt" &
    local load_pid=$!
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
    wait $load_pid
    line=$(cat "$OUT/e2e.txt")
    check_invariants "e2e" "$line"
    # A change that is sent again gets its first outcome; a concurrent change
    # with the same expected version is rejected.
    v=$(operator lists show | head -1 | grep -oE '[0-9]+')
    check_figure "e2e version after the leader's death" "$v" == 2
    operator lists apply --no-wait --expected 1 --change e1 \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" | grep -q 'accepted version 2'
    check_figure "e2e resend gets its first outcome" $? == 0
    operator lists apply --no-wait --expected 1 --change e2 \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" >"$OUT/race.txt" 2>&1
    grep -q 'present version is 2' "$OUT/race.txt"
    check_figure "e2e racing change is told the version" $? == 0
    wait_for complete_answer
    check_figure "e2e whole answers afterwards" $? == 0
    for n in 5 4 3 2 1; do
        kill -TERM "$(daemon_pid $n)"
        wait "$(daemon_pid $n)"
        check_figure "e2e exit code of daemon $n" $? == 0
    done
    stop_tier
}

# A voter loses its disk and is replaced; then another voter is killed.
voter_replacement() {
    local v
    start_tier demo 4 --service-us 3000
    daemon_kill 3
    rm -rf "$CLUSTER_DIR/data3"
    CLUSTER_NO_INIT=1 start_daemon 3
    operator voter replace 3 3 "$(daemon_ip 3):$((CLUSTER_PORT + 3))" >"$OUT/voter.txt" 2>&1
    check_figure "voter replaced after a lost disk" $? == 0
    daemon_kill 2
    operator lists apply --expected 1 --change after \
        "$root/examples/plans.conf" "$root/examples/allowances.conf" >>"$OUT/apply.txt" 2>&1
    check_figure "change accepted after a second loss" $? == 0
    v=$(operator lists show | head -1 | grep -oE '[0-9]+')
    check_figure "version after a second loss" "$v" == 2
    stop_tier
}

# CPU time, network traffic and memory of 8 daemons without queries.
control_cost() {
    local n cpu_start cpu_end bytes_start bytes_end max_rss_kb=0 rss_kb
    start_tier association 8 --service-us 5000
    sleep 2
    dump_sum() { for n in $(seq 1 8); do operator dump --admin "$(daemon_admin "$n")"; done |
        grep -oE "\"$1\":[0-9]+" | cut -d: -f2 | awk '{ s += $1 } END { print s }'; }
    cpu_start=$(dump_sum thread_cpu_us); bytes_start=$(($(dump_sum mesh_bytes_sent) + $(dump_sum mesh_bytes_received)))
    sleep 8
    cpu_end=$(dump_sum thread_cpu_us); bytes_end=$(($(dump_sum mesh_bytes_sent) + $(dump_sum mesh_bytes_received)))
    for n in $(seq 1 8); do
        rss_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$(daemon_pid "$n")/status")
        [ "$rss_kb" -gt "$max_rss_kb" ] && max_rss_kb=$rss_kb
    done
    check_figure "control CPU, % of a core a daemon" \
        "$(awk -v d=$((cpu_end - cpu_start)) 'BEGIN { printf "%.2f", d / 8 / 8e6 * 100 }')" "<=" 2
    check_figure "control KB/s a daemon" \
        "$(awk -v d=$((bytes_end - bytes_start)) 'BEGIN { printf "%.1f", d / 8 / 8 / 1000 }')" "<=" 27
    check_figure "resident MB, largest daemon" "$((max_rss_kb / 1024))" "<=" 128
    stop_tier
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
start_s=$(date +%s)
case "${1:-quick}" in
quick)
    steady association owner 6
    changes 20 1
    withdraw
    ;;
full)
    for profile in association vatuwaqa; do
        steady $profile owner 15
        steady $profile baseline 8
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
    for scenario in "$@"; do eval "$scenario"; done
    ;;
esac
echo "bench: $(($(date +%s) - start_s)) s, $failed_figures figures out of bounds"
[ "$failed_figures" -eq 0 ]
