# cluster.sh - functions that start a tier of daemons and its stand-ins on
# loopback. The demo, the tests and the benchmarks source this file.
#
# The caller sets:
# CLUSTER_DIR     folder for keys, journals and logs; created if missing
# CLUSTER_BIN     folder with the built programs
# CLUSTER_PORT    first port: daemons use this one to +99, the stand-in +198
#                 (platform) and +199 (control), searchers +200 and above
# CLUSTER_NO_INIT if not empty, start_daemon does not create a data folder

# Creates the key and the list of voters, and kills all processes on exit.

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

# Daemon N is in data centre 1 + (N - 1) % 3 and has the address 127.0.ZONE.N.
daemon_zone() { echo $((1 + ($1 - 1) % 3)); }
daemon_ip() { echo "127.0.$(daemon_zone "$1").$1"; }
daemon_http() { echo "$(daemon_ip "$1"):$((CLUSTER_PORT + 60 + $1))"; }
daemon_admin() { echo "$(daemon_ip "$1"):$((CLUSTER_PORT + 90 + $1))"; }

# daemon_list FUNCTION COUNT: prints the output of FUNCTION for the daemons 1
# to COUNT, separated by commas.
daemon_list() {
    local out="" n
    for n in $(seq 1 "$2"); do out="$out${out:+,}$("$1" "$n")"; done
    echo "$out"
}

# start_standin PROFILE [OPTION...]: starts the stand-in for the searchers and
# the platform, and waits until it is ready.
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

# start_daemon N [OPTION...]: starts daemon N without waiting for it. Daemons 1
# to 3 are the voters; only they have a data folder.
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

# daemon_kill N: kills daemon N with SIGKILL and reaps it, which suppresses the
# shell's message about the killed job.
daemon_kill() {
    kill -9 "$(daemon_pid "$1")"
    wait "$(daemon_pid "$1")" 2>/dev/null
}

daemon_pid() { eval "echo \$DAEMON_PID_$1"; }

# wait_for COMMAND...: runs COMMAND until it succeeds. Fails after 750 attempts,
# which are 20 ms apart: 15 s plus the time that the attempts take.
wait_for() {
    local i
    for i in $(seq 1 750); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.02
    done
    echo "timed out waiting for: $*" >&2
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
