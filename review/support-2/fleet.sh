# fleet.sh - starts control hosts, entry hosts and stand-ins for a case, with
# the command and the settings template of the deploy file. To be sourced by
# run.sh, which sets `here` to the folder of the case and `record` to its record.
root=$(cd "$here/../.." && pwd)
tools=$root/review/support-2/.build
binary=$root/target/baobablatch
dir=$(mktemp -d)
declare -A pids

# unable REASON: ends a case that could not run.
unable() {
    echo "could not run: $1" | tee -a "$record" >&2
    exit 2
}

cleanup() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    exec 2>/dev/null
    wait
    rm -rf "$dir"
}
trap cleanup EXIT

[ -x "$binary" ] || unable "the build of the deploy file is missing"
[ -x "$tools/list_and_servers" ] || unable "review/build-2.sh was not run"

# Reserves a loopback network; the lock ends with this script.
net=
for number in $(seq 131 180); do
    exec 9>"${TMPDIR:-/tmp}/baobablatch-review-$number.lock"
    if flock -n 9; then net=127.$number; break; fi
done
[ -n "$net" ] || unable "all loopback networks are in use"
# Zones of the core machines, as on the site, and of a spare.
zones=(- leicester leicester birmingham birmingham wolverhampton birmingham)
seeds=$net.1.1:8106,$net.1.2:8106,$net.1.3:8106

# write_settings FILE IP ZONE FRONT READY CONTROL DATA_DIR FOUND: fills the
# template, with the bounds of the site mtfra-search.
write_settings() {
    local peer=
    if [ -n "$4" ]; then peer=$2:7395; fi
    sed -e "s|{{#listen_addrs.front}}.*{{/listen_addrs.front}}|$peer|" \
        -e "s|{{zone}}|$3|" -e "s|{{ip}}|$2|" \
        -e "s|{{internal_ports.0}}|7380|" -e "s|{{listen_addrs.front}}|$4|" \
        -e "s|{{listen_addrs.ready}}|$5|" -e "s|{{listen_addrs.control}}|$6|" \
        -e "s|{{cloud.address}}|$net.4.1:8102|" -e "s|{{seeds}}|$seeds|" \
        -e "s|{{data_dir}}|$7|" -e "s|{{bootstrap}}|$8|" \
        -e "s|{{fault_tolerance.machines}}|2|" -e "s|{{cloud.rate_per_s}}|42.0|" \
        -e "s|{{cloud.discovery_lag_ms}}|800|" -e "s|{{bounds.config_apply_ms}}|3000|" \
        -e "s|{{bounds.grace_s}}|6|" -e "s|{{bounds.retry_budget_ratio}}|0.2|" \
        -e "s|{{bounds.retry_window_s}}|10|" -e "s|{{bounds.retry_budget_slack}}|54|" \
        -e "s|{{[^}]*}}||g" "$root/deploy/settings.conf" >"$1"
}

# start_host NAME: starts a host with the settings $dir/NAME.conf.
start_host() {
    BAOBABLATCH_SETTINGS=$dir/$1.conf "$binary" forward >"$dir/$1.log" 2>&1 &
    pids[$1]=$!
}

# start_control NUMBER FOUND: FOUND is true only at the first start of all.
start_control() {
    write_settings "$dir/c$1.conf" "$net.1.$1" "${zones[$1]}" "" "" "$net.1.$1:8106" "$dir/c$1" "$2"
    start_host "c$1"
}

# start_entry NUMBER
start_entry() {
    write_settings "$dir/e$1.conf" "$net.2.$1" leicester "$net.2.$1:8104" "$net.2.$1:8108" "" "" false
    start_host "e$1"
}

# stop_host SIGNAL NAME: sends a signal to a host and waits for its end.
stop_host() {
    kill "-$1" "${pids[$2]}"
    wait "${pids[$2]}" 2>/dev/null
    unset "pids[$2]"
}

# start_servers COPIES SERVICE=ADDRESS...: starts the platform's list and the
# servers. The first one sends a late copy in one of COPIES exchanges; 0: none.
start_servers() {
    "$tools/list_and_servers" "$record" "$net.4.1:8102" "$@" 2>"$dir/servers.log" &
    pids[servers]=$!
}

# wait_until COMMAND...: runs a command until it succeeds, for 20 s at most.
wait_until() {
    local i
    for i in $(seq 200); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    return 1
}

# put_config FILE HOST: sends a configuration to a control host, as the operator.
put_config() {
    curl -sfL -m 2 -X PUT -H 'Content-Type: application/json' --data-binary "@$1" \
        "http://$net.1.$2:8106/-/config"
}

# write_config VERSION: writes a configuration to $dir/config.json. The limits are
# those of the example in PROTOCOL.md.
write_config() {
    cat >"$dir/config.json" <<J
{"version":$1,"routes":[{"name":"r-one","hostname":"a.example","path_prefix":"/one/","route_type":"safe","timeout_ms":90000,"target_latency_ms":800,"priority":2,"service":"joiner","max_attempts":2},
{"name":"r-once","hostname":"a.example","path_prefix":"/once/","route_type":"unsafe","timeout_ms":15000,"target_latency_ms":800,"priority":2,"service":"joiner","max_attempts":2}],
"services":[{"name":"joiner","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
J
}

# is_ready ENTRY
is_ready() { curl -sf -m 1 "http://$net.2.$1:8108/-/readyz"; }
