#!/usr/bin/env bash
# forward-test.sh: real processes on loopback; five control hosts, three entry
# hosts and stand-in servers. Checks that requests are forwarded and merged,
# that orders outlive kills of the leader, of one host after the other and of
# all, and that a drain cuts nothing off. Ends only what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
dir=$(mktemp -d)
seeds=127.60.1.1:1,127.60.1.2:1,127.60.1.3:1
declare -A pids
standin=0

cleanup() {
    for pid in "${pids[@]}" "$standin"; do
        [ "$pid" -gt 0 ] && kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap cleanup EXIT

fail() {
    echo "forward-test: $1" >&2
    tail -n 5 "$dir"/*.log >&2 || true
    exit 1
}

control() { # NUMBER FOUND
    "$build/baobablatch" forward --data-centre "z$1" --seeds $seeds \
        --control-address "127.60.1.$1:7380" --order-address "127.60.1.$1:8106" \
        --catalog-address 127.60.4.1:8102 --data-dir "$dir/c$1" --found "$2" \
        --lost-disks 2 >>"$dir/control$1.log" 2>&1 &
    pids[c$1]=$!
}

entry() { # NUMBER
    "$build/baobablatch" forward --data-centre "z$1" --seeds $seeds \
        --control-address "127.60.2.$1:7380" --caller-address "127.60.2.$1:8104" \
        --ready-address "127.60.2.$1:8108" --metrics-address "127.60.2.$1:9100" \
        --catalog-address 127.60.4.1:8102 --grace-s 5 >>"$dir/entry$1.log" 2>&1 &
    pids[e$1]=$!
}

stop() { # SIGNAL NAME...
    local signal=$1 name
    shift
    for name in "$@"; do kill "-$signal" "${pids[$name]}"; done
    for name in "$@"; do
        wait "${pids[$name]}" 2>/dev/null || true
        unset "pids[$name]"
    done
}

# Tries a command for up to 10 s.
eventually() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    return 1
}

ready() { curl -sf -m 1 "http://127.60.2.$1:8108/-/readyz"; }

draining() {
    [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
        "http://127.60.2.$1:8108/-/readyz")" = 503 ]
}

routing() { # VERSION
    cat <<J
{"version":$1,"routes":[
{"name":"one","hostname":"a.example","path_prefix":"/one/","route_type":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":2},
{"name":"all","hostname":"a.example","path_prefix":"/all/","route_type":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":0,"gather":["s1","s2"],"max_attempts":2,"top_k":7,"min_coverage":0.9}],
"services":[{"name":"s1","health_path":"/h","max_connections":26},{"name":"s2","health_path":"/h","max_connections":26}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
J
}

put() { # VERSION HOST
    routing "$1" | curl -sfL -m 4 -X PUT --data-binary @- \
        "http://127.60.1.$2:8106/-/config"
}

held() { # VERSION
    local host
    for host in 1 2 3 4 5; do
        if curl -sfL -m 2 "http://127.60.1.$host:8106/-/config" |
            grep -q "\"version\":$1,"; then return 0; fi
    done
    return 1
}

ask() { # ENTRY PATH
    curl -sf -m 3 -H 'Host: a.example' -H "Request-Id: r$RANDOM" \
        -H 'Deadline-Ms: 2000' -D "$dir/head" -o "$dir/body" \
        "http://127.60.2.$1:8104$2"
}

"$build/tools/platform_standin" --list 127.60.4.1:8102 \
    s1=127.60.3.1:8080,127.60.3.2:8080 s2=127.60.3.3:8080,127.60.3.4:8080 \
    >"$dir/standin.log" 2>&1 &
standin=$!
for n in 1 2 3 4 5; do control "$n" true; done
for n in 1 2 3; do entry "$n"; done

eventually put 3 4 || fail "the first routing was not acknowledged"
for n in 1 2 3; do eventually ready "$n" || fail "entry host $n is not ready"; done
eventually ask 1 /one/x || fail "a request was not forwarded"
grep -qi '^Response-Stamp: i-s1-' "$dir/head" || fail "not the server's answer"
eventually ask 2 /all/x || fail "a gather was not answered"
grep -qi '^Missing-Parts: 0' "$dir/head" || fail "a part is missing"
[ "$(stat -c %s "$dir/body")" -eq 112 ] || fail "not the 7 greatest records"
[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: a.example' \
    "http://127.60.2.1:8104/none")" = 404 ] || fail "a request without a route"
curl -sf -m 2 http://127.60.2.1:9100/metrics |
    grep -q 'baobablatch_requests_total{outcome="ok"}' || fail "no metrics"
put 2 1 >/dev/null || fail "an older version was not acknowledged"
held 3 || fail "an older version changed the routing"
[ "$(echo '{"version":9' | curl -s -m 3 -X PUT --data-binary @- -o /dev/null \
    -w '%{http_code}' http://127.60.1.2:8106/-/config)" = 400 ] ||
    fail "an invalid routing was not refused"

# One control host after the other, the leader among them.
for n in 1 2 3 4 5; do
    stop KILL "c$n"
    eventually put $((10 + n)) $((n % 5 + 1)) || fail "no quorum without $n"
    control "$n" false
done
eventually held 15 || fail "routing 15 is lost"

# All processes at once, and two disks with them.
stop KILL c1 c2 c3 c4 c5 e1 e2 e3
rm -rf "$dir/c2" "$dir/c3"
for n in 5 4 1 2 3; do control "$n" false; done
for n in 1 2 3; do entry "$n"; done
eventually held 15 || fail "routing 15 is lost with two disks"
for n in 1 2 3; do
    eventually ready "$n" || fail "entry host $n did not come back"
    eventually ask "$n" /all/y || fail "entry host $n does not serve"
done

# A drain: the host is not ready at once, and goes on answering.
kill -TERM "${pids[e1]}"
eventually draining 1 || fail "a draining host says that it is ready"
ask 1 /one/z || fail "a draining host does not answer"
grep -qi '^Connection: close' "$dir/head" || fail "a draining host keeps callers"
wait "${pids[e1]}" || fail "a drain ends with an error"
unset 'pids[e1]'
grep -q BBL1005 "$dir/entry1.log" || fail "no line of the stop"
echo "forward-test: all checks passed"
