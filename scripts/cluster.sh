# cluster.sh - functions for starting a tier of daemons and its stand-ins on
# loopback, for the demo, the tests and the experiments. Source it.
#
# CLUSTER_DIR  folder for keys, journals and logs (made if missing)
# CLUSTER_BIN  folder with the built programs
# CLUSTER_PORT first port; daemons use this to +99, searchers from +200

cluster_init() {
    mkdir -p "$CLUSTER_DIR"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$CLUSTER_DIR/key"
    CLUSTER_VOTERS=""
    for v in 1 2 3; do
        CLUSTER_VOTERS="$CLUSTER_VOTERS${CLUSTER_VOTERS:+,}$v=$(daemon_ip $v):$((CLUSTER_PORT + v))"
    done
    CLUSTER_PIDS=""
    trap cluster_kill EXIT
}

# Daemon N lies in data centre 1 + (N - 1) % 3, at 127.0.ZONE.N.
daemon_zone() { echo $((1 + ($1 - 1) % 3)); }
daemon_ip() { echo "127.0.$(daemon_zone "$1").$1"; }
daemon_http() { echo "$(daemon_ip "$1"):$((CLUSTER_PORT + 60 + $1))"; }
daemon_admin() { echo "$(daemon_ip "$1"):$((CLUSTER_PORT + 90 + $1))"; }

# Lists a function's value for daemons 1 to $2, separated by commas.
daemon_list() {
    local out="" n
    for n in $(seq 1 "$2"); do out="$out${out:+,}$("$1" "$n")"; done
    echo "$out"
}

# start_standin PROFILE [OPTION...]
start_standin() {
    local profile=$1
    shift
    "$CLUSTER_BIN/tools/bbl-standin" --profile "$profile" \
        --base-port $((CLUSTER_PORT + 200)) \
        --platform-port $((CLUSTER_PORT + 198)) \
        --control-port $((CLUSTER_PORT + 199)) "$@" \
        >"$CLUSTER_DIR/standin.out" 2>&1 &
    STANDIN_PID=$!
    CLUSTER_PIDS="$CLUSTER_PIDS $STANDIN_PID"
    wait_for grep -q ready "$CLUSTER_DIR/standin.out"
}

# start_daemon N [OPTION...]; daemons 1 to 3 vote.
start_daemon() {
    local n=$1 data=""
    shift
    if [ "$n" -le 3 ]; then
        data="$CLUSTER_DIR/data$n"
        if [ ! -e "$data" ] && [ -z "${CLUSTER_NO_INIT:-}" ]; then
            "$CLUSTER_BIN/baobablatch" init --data-dir "$data" --host-id "$n"
        fi
    fi
    "$CLUSTER_BIN/baobablatch" serve --host-id "$n" --cluster demo \
        --key-file "$CLUSTER_DIR/key" --data-centre "dc$(daemon_zone "$n")" \
        --control-address "$(daemon_ip "$n"):$((CLUSTER_PORT + n))" \
        --traffic-address "$(daemon_ip "$n"):$((CLUSTER_PORT + 30 + n))" \
        --http-address "$(daemon_http "$n")" \
        --admin-address "$(daemon_admin "$n")" \
        --voters "$CLUSTER_VOTERS" --data-dir "$data" \
        --platform-url "http://127.0.0.1:$((CLUSTER_PORT + 198))/hosts" \
        "$@" >>"$CLUSTER_DIR/daemon$n.log" 2>&1 &
    eval "DAEMON_PID_$n=$!"
    CLUSTER_PIDS="$CLUSTER_PIDS $!"
}

# Kills a daemon at once, without the shell's own message.
daemon_kill() {
    kill -9 "$(daemon_pid "$1")"
    wait "$(daemon_pid "$1")" 2>/dev/null
}

daemon_pid() { eval "echo \$DAEMON_PID_$1"; }

# wait_for COMMAND...: until it succeeds, 15 s at most.
wait_for() {
    local i
    for i in $(seq 1 750); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.02
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

daemon_ready() { curl -fs -m 1 "http://$(daemon_http "$1")/v1/ready"; }
daemon_warm() {
    curl -fs -m 1 "http://$(daemon_http "$1")/v1/state" |
        grep -q '"phase":"warm"\|"phase":"cold"'
}
standin_stats() { curl -fs -m 2 "http://127.0.0.1:$((CLUSTER_PORT + 199))/stats"; }
standin_fault() {
    curl -fs -m 2 -G --data-urlencode "do=$*" \
        "http://127.0.0.1:$((CLUSTER_PORT + 199))/fault"
}
operator() {
    local command=$1
    shift
    "$CLUSTER_BIN/baobablatch" "$command" "$@"
}

cluster_kill() {
    local pid
    for pid in $CLUSTER_PIDS; do kill -9 "$pid" 2>/dev/null || true; done
    wait $CLUSTER_PIDS 2>/dev/null || true
    CLUSTER_PIDS=""
}
