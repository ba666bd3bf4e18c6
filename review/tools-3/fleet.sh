# fleet.sh - sourced by the scripts of the cases: a small deployment of five
# core and three front machines on a loopback network of its own. The programs
# are started with the commands of the deploy file and with settings that are
# filled in from its template.
tools=target/review-3
core_count=5
front_count=3
# Bounds of the site mtfra-search, SYSTEM.md, in ms.
contact_window_ms=4000
config_apply_ms=3000
evacuation_ms=5000
max_skew_ms=12000
discovery_lag_ms=800
declare -A pids

# fail_setup TEXT: ends a case that could not run.
fail_setup() {
    echo "could not run: $1" | tee -a "$record" >&2
    exit 2
}

# log TEXT: adds a line with the time of day in ms to the record.
log() { echo "$(date +%s%3N) $*" | tee -a "$record"; }

now_ms() { date +%s%3N; }

# end_processes: ends what this case has started, by id.
end_processes() {
    local pid
    if [ -n "${pids[operator]:-}" ]; then
        kill -TERM "${pids[operator]}" 2>/dev/null && sleep 0.2 # ends its child
    fi
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}

# open_case FOLDER: sets the record, a temporary folder and a free network.
open_case() {
    record=$1/record.txt
    : >"$record"
    for program in platform callers order link storm; do
        [ -x "$tools/$program" ] || fail_setup "review/build-3.sh has not run"
    done
    [ -x target/baobablatch ] || fail_setup "the build of the deploy file has not run"
    dir=$(mktemp -d)
    local number
    net=''
    for number in $(seq 151 180); do
        exec 9>"${TMPDIR:-/tmp}/review-3-net-$number.lock"
        if flock -n 9; then
            net=127.$number
            break
        fi
    done
    [ -n "$net" ] || fail_setup "no free loopback network"
    trap end_processes EXIT
    trap "exit 2" INT TERM
}

zone_of() { echo "z$(($1 % 3 + 1))"; }

# write_settings NAME BOOTSTRAP: fills in the template of the deploy file.
write_settings() {
    local kind=${1:0:1} number=${1:1} ip control='' front='' ready='' peer='' data=''
    if [ "$kind" = c ]; then
        ip=$net.1.$number
        control=$ip:8106
        data=$dir/$1
    else
        ip=$net.2.$number
        front=$ip:8104
        ready=$ip:8108
        peer=$ip:7381
    fi
    sed -e "s|{{#listen_addrs.front}}.*{{/listen_addrs.front}}|$peer|" \
        -e "s|{{zone}}|$(zone_of "$number")|" -e "s|{{ip}}|$ip|g" \
        -e "s|{{internal_ports.0}}|7380|" -e "s|{{internal_ports.1}}|7381|" \
        -e "s|{{listen_addrs.front}}|$front|" -e "s|{{listen_addrs.ready}}|$ready|" \
        -e "s|{{listen_addrs.control}}|$control|" -e "s|{{cloud.address}}|$net.4.1:8102|" \
        -e "s|{{seeds}}|$net.1.1:8106,$net.1.2:8106,$net.1.3:8106|" \
        -e "s|{{data_dir}}|$data|" -e "s|{{bootstrap}}|$2|" \
        -e "s|{{fault_tolerance.machines}}|2|" -e "s|{{cloud.rate_per_s}}|42.0|" \
        -e "s|{{cloud.discovery_lag_ms}}|$discovery_lag_ms|" \
        -e "s|{{bounds.config_apply_ms}}|$config_apply_ms|" \
        -e "s|{{bounds.grace_s}}|6|" -e "s|{{bounds.retry_budget_ratio}}|0.2|" \
        -e "s|{{bounds.retry_window_s}}|10|" -e "s|{{bounds.retry_budget_slack}}|54|" \
        -e "s|{{[^}]*}}||g" deploy/settings.conf >"$dir/$1.conf"
}

# start_host NAME BOOTSTRAP: starts c1 to c5 or e1 to e3.
start_host() {
    write_settings "$1" "$2"
    BAOBABLATCH_SETTINGS=$dir/$1.conf target/baobablatch forward \
        >>"$dir/$1.log" 2>&1 &
    pids[$1]=$!
    # The shell would report the end of a process that is killed.
    disown $!
}

# start_fleet: starts all machines for the first time.
start_fleet() {
    local i
    for i in $(seq $core_count); do start_host "c$i" true; done
    for i in $(seq $front_count); do start_host "e$i" true; done
}

# start_platform WORK_MS COLD_MS CRASH_PER_S SERVER...
start_platform() {
    local work=$1 cold=$2 crash=$3
    shift 3
    "$tools/platform" "$net.4.1:8102" "$dir/platform.txt" "$work" "$cold" \
        "$discovery_lag_ms" "$crash" "$@" &
    pids[platform]=$!
    disown $!
}

# front_addresses: prints where callers send requests.
front_addresses() {
    local i
    for i in $(seq $front_count); do echo "$net.2.$i:8104"; done
}

# send_order METHOD PATH ADDRESS [FILE]: sends an order as an operator does,
# who waits for a second, and sets `status`.
send_order() {
    read -r status answered_by < <("$tools/order" "$1" "$3" "$2" "${order_ms:-1000}" ${4:+"$4"})
}

# find_leader: sets `leader` to the number of the core machine that answers
# reads of the configuration; the others redirect to it.
find_leader() {
    order_ms=2000 send_order GET /-/config "$net.1.1:8106"
    [ "$status" = 200 ] || return 1
    leader=${answered_by%%:*}
    leader=${leader##*.}
}

# wait_until SECONDS COMMAND...: runs a command until it succeeds.
wait_until() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# put_config FILE NUMBER: sends a configuration to a core machine.
put_config() {
    order_ms=4000 send_order PUT /-/config "$net.1.$2:8106" "$1"
    [ "$status" = 200 ]
}

# are_all_voters: succeeds if the five core machines are voters; before, fewer
# of them may be lost at once.
are_all_voters() {
    grep -h 'voters=' "$dir"/c1.log | tail -n 1 | grep -v learner |
        grep -qE 'voters=[0-9]+(,[0-9]+){4} '
}
