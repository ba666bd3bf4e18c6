# fleet.sh - starts a small deployment on loopback for the cases: five control
# hosts, three entry hosts and the stand-ins. A case sources it, with its own
# folder in `case_dir`.
#
# The bounds in the settings are those of mtfra-search (SYSTEM.md):
#   config_apply_ms 3,000; grace_s 6; discovery_lag_ms 800;
#   retry budget 0.2, 10 s, 54; 2 disks may be lost at once.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
program=$root/target/baobablatch
tools=$root/review/.build
record=$case_dir/record.txt
TROUBLE=${TROUBLE:-1}
ACK_MS=5000           # ack_ms of mtfra-search
CONFIG_APPLY_S=3      # config_apply_ms of mtfra-search
OPERATOR_TIMEOUT_MS=1000 # "a second without a response", PROTOCOL.md
# A number of this run, so that runs side by side use other addresses.
net=127.$((64 + $$ % 100)).$(($$ / 100 % 100 + 100))
dir=$(mktemp -d)
declare -A pids

cleanup() {
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap cleanup EXIT

note() { echo "$(date +%s.%3N) $*" | tee -a "$record"; }

cannot_run() {
    note "the case could not run: $*"
    tail -n 3 "$dir"/*.log >>"$record" 2>/dev/null || true
    exit 2
}

# start_host NAME NUMBER KIND FOUND: starts a control host (KIND control) or an
# entry host (entry). Each has an address of its own.
start_host() {
    local ip=$net.$2
    {
        echo "[settings]"
        echo "data-centre=z$((($2 - 1) % 3 + 1))"
        echo "control-address=$ip:7380"
        if [ "$3" = control ]; then
            echo "order-address=$ip:8106"
            echo "data-dir=$dir/$1"
            echo "found=$4"
        else
            echo "caller-address=$ip:8104"
            echo "peer-address=$ip:7395"
            echo "ready-address=$ip:8108"
        fi
        echo "metrics-address=$ip:9100"
        echo "catalog-address=$net.90:8102"
        echo "seeds=$net.1:8106,$net.2:8106,$net.3:8106"
        echo "lost-disks=2"
        echo "catalog-calls-per-s=42"
        echo "catalog-lag-ms=800"
        echo "apply-ms=3000"
        echo "grace-s=6"
        echo "extra-ratio=0.2"
        echo "extra-window-s=10"
        echo "extra-constant=54"
    } >"$dir/$1.conf"
    BAOBABLATCH_SETTINGS=$dir/$1.conf "$program" forward >>"$dir/$1.log" 2>&1 &
    pids[$1]=$!
}

# start_standin ARGUMENT...: starts the list and the searchers.
start_standin() {
    "$tools/standin" "$net.90:8102" "$@" >>"$record" 2>"$dir/standin.log" &
    pids[standin]=$!
}

# start_fleet: starts all hosts: control hosts c1 to c5, entry hosts e1 to e3.
start_fleet() {
    local n
    for n in 1 2 3 4 5; do start_host "c$n" "$n" control true; done
    for n in 1 2 3; do start_host "e$n" $((10 + n)) entry; done
}

# order HOST REQUEST: an operator's call to a control host, which it gives up
# after a second.
order() {
    "$tools/caller" "$net.$1:8106" "$OPERATOR_TIMEOUT_MS" control.example 0 "$2" |
        tee -a "$record"
    return "${PIPESTATUS[0]}"
}

# call ENTRY DEADLINE-MS REQUEST...: a client's requests on one connection.
call() {
    local entry=$1 deadline=$2
    shift 2
    "$tools/caller" "$net.$((10 + entry)):8104" "$deadline" a.example \
        "$deadline" "$@" >>"$record"
}

# call_once ENTRY METHOD PATH BODY: sends one request with an id of its own.
call_once() {
    call "$1" "$DEADLINE_MS" "$2,$3,first$1.$RANDOM$RANDOM,$4"
}

# wait_until SECONDS COMMAND...: runs a command until it succeeds.
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.2
    done
}

: >"$record"
[ -x "$program" ] || cannot_run "the build of the deploy file is missing"
[ -x "$tools/standin" ] || cannot_run "review/build.sh has not run"
