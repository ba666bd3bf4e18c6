#!/usr/bin/env bash
# rollout-experiment.sh [--parallel] [CASE...] - shows how a rollout of a good or a bad version
# goes: five control hosts, three entry hosts and an emulator of the platform and its
# servers run as real processes on loopback, and callers send requests at a constant
# rate. Writes a CSV file and a plot of each case to out/rollout and prints one line a
# case. Without CASE, runs all, one after the other or with --parallel all at once.
# docs/operating/rollout-experiment.md explains the plot.
# Exit status: 0 if all cases ended as required, 1 if one did not, 2 for a wrong use,
# 3 if one could not be measured, which is no verdict about the version.
# Environment: ROLLOUT_BUILD (build), ROLLOUT_OUT (out/rollout), ROLLOUT_SEED (1).
# Ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${ROLLOUT_BUILD:-build}
out=${ROLLOUT_OUT:-out/rollout}
seed=${ROLLOUT_SEED:-1}
cases=(good bad-at-once slow bad-late bad-route bad-load entry-killed leader-killed leader-late)
rate=600      # requests per second of all callers; the canary gets a hundredth of them
preload_s=1.5 # load before the order
observe_s=3   # time observed after the end; a host has 2 s to apply it
# Without an answer to reads of the state for this long, it counts as never read. A
# new leader is elected in less.
unread_max_ms=10000
overdue_ms=16000 # a rollout ends at the latest 15 s after its deadline

dir=""
data="" # of the control hosts
net=""
declare -A pids

# set_case NAME: sets the end that the case requires, the duration of its order, the
# behaviour of the new version, the host to kill and when after the order, the time for
# which the control hosts stop then, and the additional time that the end may take
# because the quorum is not stable.
set_case() {
    expected=rolled_back
    duration_s=30
    victim=""
    fault_ms=4000
    stop_s=0
    unstable_ms=0
    case $1 in
        good) expected=completed duration_s=14 behaviour=good ;;
        bad-at-once) duration_s=14 behaviour=bad-at-once,share=50 ;;
        slow) behaviour=bad-at-once,share=50,slow=5 ;;
        bad-late) behaviour=bad-late,after-s=4,share=50 ;;
        bad-route) behaviour=bad-route,path=/two/,share=50 ;;
        bad-load) behaviour=bad-load,requests=3,share=80 ;;
        entry-killed) expected=completed behaviour=good victim=e2 ;;
        leader-killed) behaviour=bad-late,after-s=5,share=50 victim=leader unstable_ms=15000 ;;
        leader-late)
            # Before the last step, so that the next leader has to take it.
            expected=completed duration_s=14 behaviour=good
            victim=leader fault_ms=12300 stop_s=2 unstable_ms=15000
            ;;
        *) return 1 ;;
    esac
}

now_ms() { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }

cleanup() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
    rm -rf "$data"
}

# abort MESSAGE: ends a case that could not be measured. Keeps its logs.
abort() {
    local log
    echo "$case_name: error: $1" >&2
    for log in "$dir"/*.log; do
        echo "--- ${log##*/}, last lines" >&2
        tail -n 5 "$log" >&2
    done
    echo "$case_name: the logs are in $dir" >&2
    cleanup
    exit 3
}

# Reserves a loopback network and chooses ports that no socket of the machine uses, so
# that several experiments can run side by side. The lock ends with this process.
reserve_addresses() {
    local number port offset used free
    for number in $(seq 121 150); do
        net=127.$number
        exec 9>"${TMPDIR:-/tmp}/baobablatch-net-$number.lock"
        if flock -n 9; then break; fi
        net=""
    done
    [ -n "$net" ] || abort "all loopback networks are in use"
    used=$(cat /proc/net/tcp /proc/net/tcp6 2>/dev/null | awk '{split($2, a, ":"); print a[2]}')
    # Below the range of ports that the kernel assigns to outgoing connections.
    for port in $(shuf -i 2000-3200 -n 200); do
        port=$((port * 10))
        free=true
        for offset in 0 1 2 3 4 5 6; do
            if grep -q "$(printf '^%04X$' $((port + offset)))" <<<"$used"; then free=false; fi
        done
        if $free; then break; fi
    done
    $free || abort "no free ports"
    control_port=$port
    order_port=$((port + 1))
    caller_port=$((port + 2))
    ready_port=$((port + 3))
    server_port=$((port + 4))
    list_port=$((port + 5))
    peer_port=$((port + 6))
    seeds=$net.1.1:$control_port,$net.1.2:$control_port,$net.1.3:$control_port
}

# start NAME COMMAND...: starts a process with a log of its own.
start() {
    local name=$1
    shift
    "$@" >"$dir/$name.log" 2>&1 9>&- &
    pids[$name]=$!
}

start_control() {
    start "c$1" "$build/baobablatch" forward --data-centre "z$1" --seeds "$seeds" \
        --control-address "$net.1.$1:$control_port" --order-address "$net.1.$1:$order_port" \
        --catalog-address "$net.4.1:$list_port" --data-dir "$data/c$1" --found true --lost-disks 2
}

start_entry() {
    start "e$1" "$build/baobablatch" forward --data-centre "z$1" --seeds "$seeds" \
        --control-address "$net.2.$1:$control_port" --caller-address "$net.2.$1:$caller_port" \
        --ready-address "$net.2.$1:$ready_port" --peer-address "$net.2.$1:$peer_port" \
        --catalog-address "$net.4.1:$list_port" --grace-s 5
}

# print_servers FIRST: prints the addresses of six servers.
print_servers() {
    seq -f "$net.3.%g:$server_port" -s , "$1" $(($1 + 5))
}

check_processes() {
    local name
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || abort "process $name has ended early"
    done
}

# wait_for WHAT COMMAND...: runs a command until it succeeds, for 15 s at most.
wait_for() {
    local what=$1 end
    end=$(($(now_ms) + 15000))
    shift
    until "$@" >/dev/null; do
        check_processes
        [ "$(now_ms)" -lt "$end" ] || abort "$what"
        sleep 0.1
    done
}

put_routing() {
    local route routes=()
    for route in one:safe two:safe once:unsafe; do
        routes+=("{\"name\":\"${route%:*}\",\"hostname\":\"a.example\",\"path_prefix\":\"/${route%:*}/\",\"route_type\":\"${route#*:}\",\"timeout_ms\":1000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"s1\",\"max_attempts\":2}")
    done
    curl -sfL -m 4 -X PUT --data-binary @- "http://$net.1.1:$order_port/-/config" <<J
{"version":1,"routes":[$(IFS=,; echo "${routes[*]}")],
"services":[{"name":"s1","health_path":"/h","max_connections":60}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
J
}

is_served() { # ENTRY
    curl -sf -m 2 "http://$net.2.$1:$ready_port/-/readyz" &&
        curl -sf -m 2 -H 'Host: a.example' -H "Request-Id: s$RANDOM$RANDOM" \
            -H 'Deadline-Ms: 1000' "http://$net.2.$1:$caller_port/one/x"
}

# set_version start|stop VERSION: starts or stops the servers of a version.
set_version() {
    curl -sf -m 4 -X POST "http://$net.4.1:$list_port/-/$1/$2" >/dev/null ||
        abort "the emulator does not $1 version $2"
}

# read_records: sets `state` to the state that was read last, `read_at` to that time, and
# `ordered_at` and `acknowledged_at` to those of the order, from the records of the driver.
read_records() {
    local at text
    while IFS=, read -r at text; do
        case $text in
            ordered) ordered_at=$at ;;
            acknowledged) acknowledged_at=$at ;;
            refused*) abort "the order was refused: ${text#refused }" ;;
            *) state=$text ;;
        esac
        read_at=$at
    done <"$dir/states.csv"
}

is_acknowledged() {
    read_records
    [ "$acknowledged_at" -gt 0 ]
}

# find_leader: sets `leader` to the name of the leading control host, the only one that
# answers a read of the state itself.
find_leader() {
    local n
    for n in 1 2 3 4 5; do
        if [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
            "http://$net.1.$n:$order_port/-/rollouts/s1")" = 200 ]; then
            leader=c$n
            return 0
        fi
    done
    return 1
}

# Kills the host of the case, and stops the control hosts that are left for its time, so
# that the next leader is elected after it.
kill_victim() {
    local name stopped=()
    if [ "$victim" = leader ]; then
        wait_for "no control host leads" find_leader
        victim=$leader
    fi
    kill -9 "${pids[$victim]}"
    wait "${pids[$victim]}" 2>/dev/null || true
    unset "pids[$victim]"
    victim=""
    [ $stop_s -gt 0 ] || return 0
    for name in "${!pids[@]}"; do
        case $name in c?) stopped+=("${pids[$name]}") ;; esac
    done
    kill -STOP "${stopped[@]}"
    sleep $stop_s
    kill -CONT "${stopped[@]}"
}

# Follows the state until the rollout has ended and its consequences have been observed.
# Kills the host of the case at its time, and stops the old servers when the rollout
# completes, as the platform does. The load goes on until the deadline of a bad version,
# because the requests until then bound those to the new version.
follow_rollout() {
    local deadline=$((acknowledged_at + duration_s * 1000)) observe_until=0
    while [ "$(now_ms)" -lt $((observe_until > 0 ? observe_until : deadline + overdue_ms)) ]; do
        check_processes
        if [ -n "$victim" ] && [ "$(now_ms)" -ge $((ordered_at + fault_ms)) ]; then kill_victim; fi
        read_records
        if [ $(($(now_ms) - read_at)) -gt $unread_max_ms ]; then
            abort "the state of the rollout cannot be read"
        fi
        if [ $observe_until -eq 0 ] && [ "$state" != running ] && [ -n "$state" ]; then
            observe_until=$((read_at + observe_s * 1000))
            if [ "$state" = completed ]; then
                set_version stop v1
            elif [ $deadline -gt $observe_until ]; then
                observe_until=$deadline
            fi
        fi
        sleep 0.1
    done
}

# Writes the states and shares that control hosts have applied, from their logs, in the
# order of time. The hosts apply the same one after the other; the first counts.
collect_shares() {
    sed -nE 's/^([^ ]+)Z [^ ]+ BBL2017 .* state=([a-z-]+) share=([0-9.]+) .*/\1 \2 \3/p' \
        "$dir"/c?.log | sort | awk '!seen[$2, $3]++' | while read -r time applied share; do
        echo "$(date -u -d "${time}Z" +%s%3N),$share,${applied/-/_}"
    done >"$dir/shares.csv"
}

draw_plot() {
    local select="< grep ,v%s, '$1.csv'"
    # shellcheck disable=SC2059
    gnuplot <<G
set terminal svg size 1100,900 background "white"
set output "$1.svg"
set datafile separator ","
set multiplot layout 4,1 title "$case_name: $end_line" font ",11" noenhanced
set lmargin 10
set key outside right top
set xrange [$(awk -F, 'NR == 2 {print $1}' "$1.csv"):$(awk -F, 'END {print $1}' "$1.csv")]
set arrow from 0, graph 0 to 0, graph 1 nohead dashtype 2
set arrow from $duration_s, graph 0 to $duration_s, graph 1 nohead dashtype 2
set label "order" at 0, graph 0.9 offset 0.5,0
set label "deadline" at $duration_s, graph 0.9 right offset -0.5,0
$end_marks
set ylabel "share of requests"
set yrange [-0.02:1.05]
plot "$(printf "$select" 2)" using 1:4 with steps title "new version", \
     "" using 1:10 with steps dashtype 3 title "ordered"
set yrange [0:*]
set ylabel "requests in 250 ms"
plot "$(printf "$select" 1)" using 1:3 with steps title "old version", \
     "$(printf "$select" 2)" using 1:3 with steps title "new version"
set ylabel "bad answers in 250 ms"
set yrange [0:$(awk -F, 'NR > 1 && $5 + $6 > max {max = $5 + $6} END {print max < 5 ? 5 : max * 1.1}' "$1.csv")]
plot "$(printf "$select" 1)" using 1:(\$5+\$6) with steps title "old version", \
     "$(printf "$select" 2)" using 1:5 with steps title "new version, failures", \
     "" using 1:6 with steps title "new version, slow"
set yrange [0:*]
set ylabel "latency at the server, ms"
set xlabel "time since the order, s"
plot "$(printf "$select" 1)" using 1:7 with lines title "old version, median", \
     "" using 1:8 with lines title "old version, p99", \
     "$(printf "$select" 2)" using 1:7 with linespoints pointsize 0.3 title "new version, median", \
     "" using 1:8 with linespoints pointsize 0.3 title "new version, p99"
G
}

# Evaluates the records. Returns the exit status of the case.
report() {
    local status=0 end_marks=""
    collect_shares
    awk -v name="$case_name" -v expected=$expected -v ordered_at="$ordered_at" \
        -v deadline=$((acknowledged_at + duration_s * 1000)) -v unstable_ms=$unstable_ms \
        -v csv="$out/$case_name.csv" -f scripts/rollout-report.awk \
        "$dir/servers.csv" "$dir/callers.csv" "$dir/states.csv" "$dir/shares.csv" \
        >"$dir/report" || status=$?
    cat "$dir/report"
    [ $status -le 1 ] || abort "the records cannot be evaluated"
    end_line=$(sed -n "1s/^[^:]*: //p" "$dir/report")
    if [ "$state" != running ]; then
        end_marks=$(awk -F, -v t="$ordered_at" '$2 == "completed" || $2 == "rolled_back" {
            printf "set arrow from %.2f, graph 0 to %.2f, graph 1 nohead linecolor rgb \"red\"\n", ($1 - t) / 1000, ($1 - t) / 1000
            printf "set label \"%s\" at %.2f, graph 0.8 right offset -0.5,0 noenhanced\n", $2, ($1 - t) / 1000
            exit
        }' "$dir/states.csv")
    fi
    draw_plot "$out/$case_name" || abort "the plot cannot be drawn"
    return $status
}

run_case() {
    local n entries=() operators=""
    case_name=$1
    set_case "$case_name"
    state="" read_at=0 ordered_at=0 acknowledged_at=0
    dir=$(mktemp -d)
    # Control hosts wait for their disks. A busy disk can hold up all of them for
    # seconds, so that the leader changes; the experiment is not about that.
    data=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d)
    trap cleanup EXIT
    trap 'exit 130' INT TERM
    : >"$dir/states.csv"
    reserve_addresses
    start emulator "$build/tools/platform_standin" --list "$net.4.1:$list_port" --work-ms 5 \
        --seed "$seed" --record "$dir/servers.csv" --behaviour "v2=$behaviour" --held v2 \
        "s1=$(print_servers 1)" "s1@v2=$(print_servers 7)"
    for n in 1 2 3 4 5; do
        start_control "$n"
        operators+=${operators:+,}$net.1.$n:$order_port
    done
    for n in 1 2 3; do
        start_entry "$n"
        entries+=("$net.2.$n:$caller_port/$net.2.$n:$ready_port")
    done
    wait_for "the routing was not acknowledged" put_routing
    for n in 1 2 3; do wait_for "entry host $n does not serve requests" is_served "$n"; done
    start driver "$build/tools/rollout_driver" --rate $rate --record "$dir/callers.csv" \
        --states "$dir/states.csv" --control "$operators" --order-after-s $preload_s \
        --duration-s $duration_s "${entries[@]}"
    wait_for "the order was not acknowledged" is_acknowledged
    set_version start v2
    follow_rollout
    check_processes
    kill "${pids[driver]}"
    wait "${pids[driver]}" || abort "the driver failed"
    unset "pids[driver]"
    cleanup
    report || {
        status=$?
        # Why the leader decided so, with the counts that it decided from.
        cat "$dir"/c?.log | grep BBL2018 | sort | tail -n 3 >&2 || true
        cat "$dir/driver.log" >&2
        echo "$case_name: the logs are in $dir" >&2
        exit $status
    }
    rm -rf "$dir"
}

parallel=false
if [ "${1:-}" = --parallel ]; then
    parallel=true
    shift
fi
selected=("$@")
if [ $# -eq 0 ]; then selected=("${cases[@]}"); fi
for name in "${selected[@]}"; do
    set_case "$name" || { echo "usage: rollout-experiment.sh [--parallel] [${cases[*]}]..." >&2; exit 2; }
done
mkdir -p "$out"
worst=0
running=()
stop_cases() {
    # A case ends its own processes.
    for pid in "${running[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
}
trap stop_cases EXIT
trap 'exit 130' INT TERM
for name in "${selected[@]}"; do
    (run_case "$name") &
    running+=($!)
    if ! $parallel || [ "$name" = "${selected[-1]}" ]; then
        for pid in "${running[@]}"; do
            status=0
            wait "$pid" || status=$?
            if [ $status -gt $worst ]; then worst=$status; fi
        done
        running=()
    fi
done
exit $worst
