#!/usr/bin/env bash
# run.sh - a searcher answers a request before it has read its long body, keeps
# the connection and reads on later. Checks that it gets the rest of that body,
# or the end of the connection, and no other bytes.
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../support/fleet.sh
source "$case_dir/../support/fleet.sh"
BODY_BYTES=200000 # below max_body_bytes, 262,144, of the configuration
ROUNDS=10
SHORT=60          # of each of four clients: one answer in 50 may be early
DEADLINE_MS=3000  # of rack-record, mtfra-search

options=()
[ "$TROUBLE" = 0 ] || options=(--early)
start_standin "${options[@]}" "s1,i-s1-0,z2,$net.91:8080" \
    "s1,i-s1-1,z1,$net.92:8080"
start_fleet
cat >"$dir/config" <<J
{"version":1,"routes":[
{"name":"record","hostname":"a.example","path_prefix":"/record/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":1}],
"services":[{"name":"s1","health_path":"/healthz","max_connections":26,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
J
wait_until 20 order 1 "PUT,/-/config,c1,@$dir/config" || cannot_run "no configuration"
wait_until 20 call_once 1 POST /record/first "100" || cannot_run "no request is served"

for round in $(seq "$ROUNDS"); do
    note "round $round: short requests at another entry host, one with a long body, short ones"
    for k in 1 2 3 4; do
        call 2 "$DEADLINE_MS" "POST,/record/x,a$round.$k,100,$SHORT" &
        pids[client$k]=$!
    done
    for k in 1 2 3 4; do
        wait "${pids[client$k]}"
        unset "pids[client$k]"
    done
    call 1 "$DEADLINE_MS" "POST,/record/long,long$round,$BODY_BYTES" \
        "POST,/record/short,short$round,100,5" || true
    sleep 1.2
done

if grep -q ' FOREIGN ' "$record"; then
    note "UNASKED is broken: a searcher got other bytes in place of the rest of a body"
    exit 1
fi
[ "$(grep -c 'answer .*request=long[0-9]* ' "$record")" -eq "$ROUNDS" ] ||
    cannot_run "not all long requests were answered"
[ "$(grep -c 'answer .*status=200' "$record")" -ge "$ROUNDS" ] ||
    cannot_run "too few requests were served"
note "the rule held"
exit 0
