#!/usr/bin/env bash
# forward-test.sh [BUILD [OTHER-BINARY]] - tests five control hosts, three entry hosts and
# stand-in servers as real processes on loopback. Checks that requests are
# forwarded and merged, that acknowledged routings survive the kill of each
# control host in turn (the leader among them) and of all processes at once with
# the loss of two disks, that a drain interrupts no request, that delegated
# queries are answered, that rate limits of servers and the rest that they ask for
# are kept, that a leaving server gets at most one more request a host, and that a
# request does not end one server after another, and that the keys of organisations
# are accepted while the routing in force has them. Hosts with an even number run
# OTHER-BINARY if it is given, and the other one after a restart: a fleet is
# upgraded host by host. At last all are upgraded, with a change after each that has
# to be in force in time. Ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
binary=$build/baobablatch
other=${2:-$binary}
tenants='' # further fields of the routing documents
declare -A starts
dir=$(mktemp -d)
# Reserves a loopback network, so that several runs can share a machine. The
# lock ends with this script and its processes.
for number in $(seq 91 120); do
    net=127.$number
    exec 9>"${TMPDIR:-/tmp}/baobablatch-net-$number.lock"
    if flock -n 9; then break; fi
    net=""
done
[ -n "$net" ] || { echo "forward-test: all loopback networks are in use" >&2; exit 1; }
seeds=$net.1.1:1,$net.1.2:1,$net.1.3:1
declare -A pids
declare -A loads
standin_pid=0

cleanup() {
    for pid in "${pids[@]}" "$standin_pid"; do
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

# select_binary NAME NUMBER: sets `program` to the binary for the next start of a
# host.
select_binary() {
    starts[$1]=$((${starts[$1]:-0} + 1))
    program=$binary
    if [ $((($2 + ${starts[$1]}) % 2)) -eq 1 ]; then program=$other; fi
}

# start_control NUMBER FOUND: starts a control host; FOUND is the value of --found.
start_control() {
    select_binary "c$1" "$1"
    "$program" forward --data-centre "z$1" --seeds $seeds \
        --control-address "$net.1.$1:7380" --order-address "$net.1.$1:8106" \
        --catalog-address $net.4.1:8102 --data-dir "$dir/c$1" --found "$2" \
        --lost-disks 2 >>"$dir/control$1.log" 2>&1 &
    pids[c$1]=$!
}

# start_entry NUMBER: starts an entry host.
start_entry() {
    local peer=()
    select_binary "e$1" "$1"
    # Earlier builds do not have the setting.
    if [ "$program" = "$binary" ]; then peer=(--peer-address "$net.2.$1:7381"); fi
    "$program" forward --data-centre "z$1" --seeds $seeds \
        --control-address "$net.2.$1:7380" --caller-address "$net.2.$1:8104" \
        --ready-address "$net.2.$1:8108" --metrics-address "$net.2.$1:9100" \
        "${peer[@]}" --catalog-address $net.4.1:8102 --grace-s 5 >>"$dir/entry$1.log" 2>&1 &
    pids[e$1]=$!
}

# stop_hosts SIGNAL NAME...: sends SIGNAL to hosts, such as c1 or e1, and reaps
# them.
stop_hosts() {
    local signal=$1 name
    shift
    for name in "$@"; do kill "-$signal" "${pids[$name]}"; done
    for name in "$@"; do
        wait "${pids[$name]}" 2>/dev/null || true
        unset "pids[$name]"
    done
}

# Runs a command until it succeeds. Fails after 100 attempts, which are 0.1 s
# apart.
wait_until() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    return 1
}

is_ready() { curl -sf -m 1 "http://$net.2.$1:8108/-/readyz"; }

is_draining() {
    [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
        "http://$net.2.$1:8108/-/readyz")" = 503 ]
}

# print_routing VERSION: prints a routing document.
print_routing() {
    cat <<J
{"version":$1,"routes":[
{"name":"new","hostname":"a.example","path_prefix":"/v$1/","route_type":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":2},
{"name":"one","hostname":"a.example","path_prefix":"/one/","route_type":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":2},
{"name":"all","hostname":"a.example","path_prefix":"/all/","route_type":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":0,"gather":["s1","s2"],"max_attempts":2,"top_k":7,"min_coverage":0.9}],
"services":[{"name":"s1","health_path":"/h","max_connections":26},{"name":"s2","health_path":"/h","max_connections":26}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}$tenants}
J
}

# put_routing VERSION HOST: sends a routing to a control host.
put_routing() {
    print_routing "$1" | curl -sfL -m 4 -X PUT --data-binary @- \
        "http://$net.1.$2:8106/-/config"
}

# change_evacuation METHOD HOST: evacuates data centre z1 (POST) or restores it
# (DELETE) by way of a control host.
change_evacuation() {
    curl -sf -m 4 -X "$1" "http://$net.1.$2:8106/-/evacuations/z1"
}

# is_in_force VERSION: succeeds if all entry hosts serve the route that came with
# this version within 3 s.
is_in_force() {
    local n end=$(($(date +%s%N) + 3000000000))
    for n in 1 2 3; do
        until send_request "$n" "/v$1/x"; do
            if [ "$(date +%s%N)" -gt "$end" ]; then return 1; fi
            sleep 0.1
        done
    done
}

# has_routing VERSION: succeeds if a control host returns this version.
has_routing() {
    local host
    for host in 1 2 3 4 5; do
        # Not a pipe to grep -q, which would fail curl under pipefail.
        if curl -sfL -m 2 -o "$dir/routing" "http://$net.1.$host:8106/-/config" &&
            grep -q "\"version\":$1," "$dir/routing"; then return 0; fi
    done
    return 1
}

# send_request ENTRY PATH: sends a request to an entry host; writes the header
# of the response to $dir/head and its body to $dir/body.
send_request() {
    curl -sf -m 3 -H 'Host: a.example' -H "Request-Id: r$RANDOM" \
        -H 'Deadline-Ms: 2000' -D "$dir/head" -o "$dir/body" \
        "http://$net.2.$1:8104$2"
}

# is_answered STATUS KEY: succeeds if all entry hosts answer a request with this
# key, or without one, with this status within 3 s.
is_answered() {
    local n end=$(($(date +%s%N) + 3000000000))
    for n in 1 2 3; do
        until [ "$(curl -s -m 3 -o /dev/null -D "$dir/head" -w '%{http_code}' \
            -H 'Host: a.example' -H "Request-Id: k$RANDOM" -H 'Deadline-Ms: 2000' \
            ${2:+-H "Key: $2"} "http://$net.2.$n:8104/one/key")" = "$1" ]; do
            if [ "$(date +%s%N)" -gt "$end" ]; then return 1; fi
            sleep 0.05
        done
    done
}

# send_as KEY COUNT: sends requests with a key to the entry hosts in turn, 40 a
# second at most, and prints their statuses.
send_as() {
    local i
    for i in $(seq "$2"); do
        curl -s -m 3 -o /dev/null -D "$dir/head" -w '%{http_code}\n' \
            -H 'Host: a.example' -H "Request-Id: q$RANDOM$RANDOM" \
            -H 'Deadline-Ms: 2000' -H "Key: $1" \
            "http://$net.2.$((i % 3 + 1)):8104/one/quota"
        sleep 0.025
    done
}

# print_tenants: prints 10,000 organisations with 10 keys each.
print_tenants() {
    awk 'BEGIN {
        for (i = 0; i < 10000; i++) {
            printf "%s{\"name\":\"organisation-%05d\",\"rate_per_s\":0,\"api_keys\":[", i ? "," : "", i
            for (k = 0; k < 10; k++) printf "%s\"key-%05d-%d-0123456789abcdefghijk\"", k ? "," : "", i, k
            printf "]}"
        }
    }'
}

old_servers=s1=$net.3.1:8080,$net.3.2:8080

# start_standin OPTION...: starts the stand-in servers, in place of those that run.
start_standin() {
    if [ "$standin_pid" -gt 0 ]; then
        kill "$standin_pid"
        wait "$standin_pid" 2>/dev/null || true
    fi
    "$build/tools/platform_standin" --list $net.4.1:8102 "$@" \
        $old_servers s2=$net.3.3:8080,$net.3.4:8080 \
        >"$dir/standin.log" 2>&1 &
    standin_pid=$!
}

# send_for SECONDS ENTRY: sends requests one after the other to an entry host and
# prints their statuses.
send_for() {
    local until=$((SECONDS + $1))
    while [ "$SECONDS" -lt "$until" ]; do
        curl -s -m 3 -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' \
            -H "Request-Id: l$RANDOM$RANDOM" -H 'Deadline-Ms: 2000' \
            "http://$net.2.$2:8104/one/$RANDOM" || true
    done
}

start_standin
for n in 1 2 3 4 5; do start_control "$n" true; done
for n in 1 2 3; do start_entry "$n"; done

wait_until put_routing 3 4 || fail "the first routing was not acknowledged"
for n in 1 2 3; do wait_until is_ready "$n" || fail "entry host $n is not ready"; done
wait_until send_request 1 /one/x || fail "a request was not forwarded"
grep -qi '^Response-Stamp: i-s1-' "$dir/head" || fail "no Response-Stamp of a server of s1"
wait_until send_request 2 /all/x || fail "a gather was not answered"
grep -qi '^Missing-Parts: 0' "$dir/head" || fail "a part is missing from the merged answer"
[ "$(stat -c %s "$dir/body")" -eq 112 ] || fail "the body is not 112 bytes, the 7 greatest records"
[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: a.example' \
    "http://$net.2.1:8104/none")" = 404 ] || fail "a request without a route was not answered with 404"
# Not a pipe: grep ends at the first match, and curl would fail to write on.
curl -sf -m 2 -o "$dir/metrics" http://$net.2.1:9100/metrics || fail "no metrics"
grep -q 'baobablatch_requests_total{outcome="ok"}' "$dir/metrics" || fail "no counter of successful requests in the metrics"
put_routing 2 1 >/dev/null || fail "an older version was not acknowledged"
wait_until has_routing 3 || fail "an older version changed the routing"
# Each host passes on what the one before may only just have recorded.
for n in 1 2 3 4 5; do
    change_evacuation POST "$n" >/dev/null || fail "no evacuation by way of control host $n"
    change_evacuation DELETE $((n % 5 + 1)) >/dev/null || fail "no restoration by way of control host $((n % 5 + 1))"
done
wait_until send_request 1 /one/x || fail "a request was not forwarded after the evacuations"
[ "$(echo '{"version":9' | curl -s -m 3 -X PUT --data-binary @- -o /dev/null \
    -w '%{http_code}' http://$net.1.2:8106/-/config)" = 400 ] ||
    fail "an invalid routing was not refused"

# Kills each control host in turn, the leader among them.
for n in 1 2 3 4 5; do
    stop_hosts KILL "c$n"
    wait_until put_routing $((10 + n)) $((n % 5 + 1)) || fail "no quorum without control host $n"
    start_control "$n" false
done
wait_until has_routing 15 || fail "routing 15 is lost"

# Kills all processes at once and removes the data folders of two control hosts.
stop_hosts KILL c1 c2 c3 c4 c5 e1 e2 e3
rm -rf "$dir/c2" "$dir/c3"
for n in 5 4 1 2 3; do start_control "$n" false; done
for n in 1 2 3; do start_entry "$n"; done
wait_until has_routing 15 || fail "routing 15 is lost with two disks"
for n in 1 2 3; do
    wait_until is_ready "$n" || fail "entry host $n is not ready after the restart"
    wait_until send_request "$n" /all/y || fail "entry host $n does not answer after the restart"
done

# While a host drains, it reports that it is not ready and keeps answering.
kill -TERM "${pids[e1]}"
wait_until is_draining 1 || fail "a draining host reports that it is ready"
send_request 1 /one/z || fail "a draining host does not answer"
grep -qi '^Connection: close' "$dir/head" || fail "a draining host keeps the connection open"
wait "${pids[e1]}" || fail "a drained host exited with an error"
unset 'pids[e1]'
grep -q BBL1005 "$dir/entry1.log" || fail "no stop event (BBL1005) in the log"
# The last checks are for a fleet of this build only: earlier ones keep no limit.
if [ "$other" != "$binary" ]; then
    # The fleet is upgraded host by host, with a change after each.
    start_entry 1
    wait_until is_ready 1 || fail "entry host 1 is not ready again"
    other=$binary
    version=20
    for host in c1 e2 c2 c3 e1 c4 c5 e3; do
        stop_hosts TERM "$host"
        case $host in
            c*) start_control "${host#c}" false ;;
            e*) start_entry "${host#e}" ;;
        esac
        version=$((version + 1))
        wait_until put_routing "$version" $((version % 5 + 1)) || fail "no change while $host is upgraded"
        case $host in e*) wait_until is_ready "${host#e}" || fail "$host is not ready after its upgrade" ;; esac
        is_in_force "$version" || fail "routing $version is not in force within 3 s while $host is upgraded"
    done
    wait_until has_routing "$version" || fail "a routing is lost by the upgrade"
    echo "forward-test: all checks passed"
    exit 0
fi
start_entry 1
wait_until is_ready 1 || fail "entry host 1 is not ready again"

# An entry host answers a query that another one has delegated, and no other.
delegated='Baobablatch-Delegated: host=1 elapsed_us=1000 round_trip_us=100 attempts=0 routing=15'
send_delegated() { # HEADER
    curl -s -m 3 -o "$dir/body" -D "$dir/head" -H 'Host: a.example' -H 'Request-Id: rd' \
        -H 'Deadline-Ms: 2000' -H "$1" http://$net.2.2:7381/all/delegated
}
send_delegated "$delegated"
grep -q '^HTTP/1.1 200' "$dir/head" || fail "a delegated query was not answered"
grep -qi '^Baobablatch-Outcome: reason=ok reach=most attempts=1' "$dir/head" ||
    fail "the answer to a delegated query does not tell its outcome"
grep -q 'id=rd .*delegated_by=1 ' "$dir/entry2.log" || fail "the log does not name the delegating host"
send_delegated "Baobablatch-Delegated: host=0"
grep -q '^HTTP/1.1 400' "$dir/head" || fail "a malformed delegated query was not refused"
send_request 2 /all/x || fail "no answer after the delegated query"
if grep -qi '^Baobablatch-' "$dir/head"; then fail "a caller gets a header between hosts"; fi

# Servers that state a rate limit get no more, and all that they accept is used.
start_standin --rate-limit 4
for n in 1 2 3; do wait_until send_request "$n" /one/limited || fail "no answer under a rate limit"; done
for n in 1 2 3; do send_for 11 "$n" >"$dir/statuses$n" & loads[$n]=$!; done
for n in 1 2 3; do wait "${loads[$n]}"; done
if grep "is over its rate limit" "$dir/standin.log"; then fail "a server is over its rate limit"; fi
[ "$(cat "$dir"/statuses? | grep -c '^200$')" -ge 30 ] || fail "less than a third of what the servers accept is served"
[ "$(cat "$dir"/statuses? | grep -c -v -E '^(200|503)$')" -eq 0 ] || fail "a status other than 200 and 503 under a rate limit"

# A request that ends its servers is kept from them, at all hosts.
start_standin --crash-path /one/crash
for n in 1 2 3; do wait_until send_request "$n" /one/calm || fail "no answer after the rate limit"; done
for i in $(seq 60); do
    send_request $((i % 3 + 1)) /one/crash || true
    sleep 0.15
    if [ "$i" -eq 30 ]; then early=$(grep -c "crashes:" "$dir/standin.log"); fi
done
[ "$early" -ge 1 ] || fail "the request ended no server"
[ "$(grep -c "crashes:" "$dir/standin.log")" -le $((early + 3)) ] ||
    fail "a request that ends its servers is sent to them more than three times more"

# A server that turns requests away and asks for 3 s without any gets one in 3 s.
start_standin --rest-s 3
wait_until send_request 1 /one/rest || fail "no answer after the crashes"
turned_away=$(grep -c "^i-s1-0 turns a request away" "$dir/standin.log" || true)
send_for 10 1 >"$dir/statuses1"
[ "$(grep -c '^200$' "$dir/statuses1")" -ge 20 ] || fail "no service beside a server that rests"
[ "$(($(grep -c "^i-s1-0 turns a request away" "$dir/standin.log") - turned_away))" -le 5 ] ||
    fail "a server gets requests in the time for which it wants none"
grep -q 'BBL4008 backoff .*for_ms=\(2999\|3000\)' "$dir/entry1.log" || fail "no log of the time that a server asked for"

# A server that says it is leaving gets nothing from a host after the answer that
# says so, whatever the list says. While the servers return, the host may have
# delegated requests to the two others.
start_standin --leaving
wait_until send_request 1 /one/leave || fail "no answer after the rest"
send_for 5 1 >"$dir/statuses1"
[ "$(grep -c '^200$' "$dir/statuses1")" -ge 20 ] || fail "no service beside a server that leaves"
[ "$(grep -c "^i-s1-0 gets a request although it is leaving" "$dir/standin.log" || true)" -le 3 ] ||
    fail "a server that is leaving gets more than one request from each host"

# Keys are accepted and refused as the routing in force says.
start_standin
wait_until send_request 1 /one/calm || fail "no answer after the servers that leave"
tenants=',"tenants":[{"name":"ant","api_keys":["key-of-ant"]},{"name":"bee","api_keys":["key-of-bee"]}]'
wait_until put_routing 100 1 || fail "no routing with organisations"
is_answered 401 "" || fail "a request without a key is not refused within 3 s"
if grep -qi '^Retry-After' "$dir/head"; then fail "a request that is unauthorized gets a retry time"; fi
is_answered 200 key-of-ant || fail "a known key is not accepted"
is_answered 401 key-of-cat || fail "an unknown key is not refused"
tenants=',"tenants":[{"name":"bee","api_keys":["key-of-bee"]},{"name":"cat","api_keys":["key-of-cat"]}]'
wait_until put_routing 101 2 || fail "no routing with other keys"
is_answered 401 key-of-ant || fail "a key that was removed is accepted after 3 s"
is_answered 200 key-of-cat || fail "a key that was added is not accepted within 3 s"
is_answered 200 key-of-bee || fail "a key that stays is not accepted"
tenants=',"tenants":[{"name":"bee","api_keys":["key-of-bee"]},{"name":"cat","api_keys":["key-of-bee"]}]'
[ "$(print_routing 102 | curl -sL -m 3 -X PUT --data-binary @- -o /dev/null \
    -w '%{http_code}' http://$net.1.2:8106/-/config)" = 400 ] ||
    fail "a routing with a key of two organisations was not refused"
grep -q 'organisations .*bee.* and .*cat.* have the same key' "$dir"/control2.log ||
    fail "the log does not name the organisations with the same key"

# A limit holds over all entry hosts, also without one of the control hosts that
# grant admission; the others keep it, and other organisations notice nothing.
tenants=',"tenants":[{"name":"bee","api_keys":["key-of-bee"],"rate_per_s":4,"burst":6},{"name":"cat","api_keys":["key-of-cat"]}]'
wait_until put_routing 102 1 || fail "no routing with a limit"
is_answered 200 key-of-cat || fail "no answer beside a limit"
sleep 3.5
for step in all killed; do
    if [ $step = killed ]; then stop_hosts KILL c2; fi
    begin=$(date +%s%N)
    send_as key-of-bee 120 >"$dir/statuses1"
    took=$((($(date +%s%N) - begin) / 1000000))
    served=$(grep -c '^200$' "$dir/statuses1" || true)
    [ "$served" -ge $((4 * took * 2 / 5000 + 1)) ] || fail "$served requests within a limit in $took ms ($step)"
    [ "$served" -le $(((4 * (took > 5000 ? took : 5000) / 1000 + 6) * 11 / 10 + 20)) ] ||
        fail "$served requests over a limit in $took ms ($step)"
    grep -q '^429$' "$dir/statuses1" || fail "no request is refused for its limit ($step)"
    if grep -qv '^200$\|^429$' "$dir/statuses1"; then fail "a request fails beside a limit ($step)"; fi
done
# A host refuses by itself for up to 250 ms, with the time that it was told before; tokens
# that other hosts got since then are not in it. The next refusal is of the grantors.
sleep 0.3
for _ in $(seq 200); do
    if [ "$(send_as key-of-bee 1)" = 429 ]; then break; fi
done
grep -qi '^Retry-After' "$dir/head" || fail "a refusal for a limit has no retry time"
sleep "$(tr -d '\r' <"$dir/head" | awk 'tolower($1) == "retry-after:" {print $2}')"
[ "$(send_as key-of-bee 1)" = 200 ] || fail "a request is refused after its retry time"
[ "$(send_as key-of-cat 30 | sort -u)" = 200 ] || fail "a request without a limit is refused"
grep -q 'BBL5005 over-quota .*org=bee' "$dir/entry1.log" || fail "the log does not name the organisation over its limit"
start_control 2 false

tenants=",\"tenants\":[$(print_tenants)]"
wait_until put_routing 103 3 || fail "no routing with 100,000 keys"
is_answered 200 key-09999-9-0123456789abcdefghijk || fail "one of 100,000 keys is not accepted within 3 s"
is_answered 401 key-of-bee || fail "a key is not refused beside 100,000 others"
grep -q 'BBL5001 .*org=ant ' "$dir/entry1.log" || fail "the log does not name the organisation"
if grep -l 'key-of-\|key-09999' "$dir"/*.log; then fail "a key is in a log"; fi

# Without organisations callers need no key again.
tenants=''
wait_until put_routing 104 1 || fail "no routing without organisations"
is_answered 200 "" || fail "a request without a key is refused although there are no organisations"

# order_rollout VERSION SECONDS: orders a rollout of s1; prints the status.
order_rollout() {
    curl -s -L -m 4 -X POST -o /dev/null -w '%{http_code}' \
        --data "{\"service\":\"s1\",\"target_version\":\"$1\",\"duration_s\":$2}" \
        http://$net.1.2:8106/-/rollouts
}

# is_rollout STATE VERSION: succeeds if this is the state of the rollout of s1.
is_rollout() {
    curl -sfL -m 2 -o "$dir/rollout" http://$net.1.3:8106/-/rollouts/s1 &&
        grep -q "\"state\":\"$1\",\"target_version\":\"$2\"" "$dir/rollout"
}

# A version that fails is rolled back, and its failures reach no caller.
start_standin
for n in 1 2 3; do wait_until send_request "$n" /one/before || fail "no answer before the rollout"; done
[ "$(order_rollout v2 0)" = 400 ] || fail "a rollout within 0 s is not refused"
[ "$(order_rollout v2 16)" = 200 ] || fail "a rollout is not recorded"
[ "$(order_rollout v2 16)" = 200 ] || fail "the same order again is not acknowledged"
[ "$(order_rollout v3 16)" = 409 ] || fail "a rollout to another version is not refused"
is_rollout running v2 || fail "the rollout does not run"
start_standin --failing 100 s1@v2=$net.3.5:8080,$net.3.6:8080
for n in 1 2 3; do wait_until send_request "$n" /one/during || fail "no answer during the rollout"; done
sleep 2 # the old servers have restarted with the stand-in, and count as cold
for n in 1 2 3; do send_for 15 "$n" >"$dir/statuses$n" & loads[$n]=$!; done
for n in 1 2 3; do wait "${loads[$n]}"; done
is_rollout rolled_back v2 || fail "a version that fails is not rolled back: $(cat "$dir/rollout")"
[ "$(grep -c " fails$" "$dir/standin.log")" -le 50 ] || fail "a version that fails gets more than 50 requests"
[ "$(cat "$dir"/statuses? | grep -c -v '^200$')" -le 2 ] || fail "callers notice a version that fails"

# A good version is completed by its deadline, and the old servers stop at once.
[ "$(order_rollout v3 16)" = 200 ] || fail "the next rollout is not recorded"
ordered=$(date +%s%N)
start_standin s1@v3=$net.3.7:8080,$net.3.8:8080
for n in 1 2 3; do wait_until send_request "$n" /one/during || fail "no answer during the second rollout"; done
sleep 2 # the old servers have restarted with the stand-in, and count as cold
for n in 1 2 3; do send_for 15 "$n" >"$dir/statuses$n" & loads[$n]=$!; done
until is_rollout completed v3; do
    [ "$(date +%s%N)" -lt $((ordered + 16000000000)) ] || fail "a good version is not completed by its deadline: $(cat "$dir/rollout")"
    sleep 0.05
done
for n in 1 2 3; do wait "${loads[$n]}"; done
[ "$(cat "$dir"/statuses? | grep -c -v '^200$')" -eq 0 ] || fail "callers notice a rollout"
old_servers=s1@v3=$net.3.7:8080,$net.3.8:8080
start_standin
for n in 1 2 3; do wait_until send_request "$n" /one/after || fail "no answer after the rollout"; done
send_for 3 1 >"$dir/statuses1"
[ "$(grep -c -v '^200$' "$dir/statuses1")" -eq 0 ] || fail "requests fail after the rollout"
echo "forward-test: all checks passed"
