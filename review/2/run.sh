#!/usr/bin/env bash
# run.sh - a control host is frozen while the operator withdraws an evacuation
# there. The operator gets no answer, withdraws it at another host, and later
# evacuates the data centre again. Checks that no searcher of the data centre
# gets requests later than evacuation_ms after that.
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../support/fleet.sh
source "$case_dir/../support/fleet.sh"
FREEZE_MS=7400      # longest node_freeze of a core machine, mtfra-search.toml
EVACUATE_AFTER_MS=6000 # longer than ack_ms, in which orders may be resent
EVACUATION_MS=5000  # evacuation_ms of mtfra-search
CONTACT_WINDOW_MS=4000 # contact_window_ms of mtfra-search
WATCH_S=6           # in which requests are judged
DEADLINE_MS=3000    # of rack-record, mtfra-search

# evacuate HOST...: sends `request` to one host after the other until one
# acknowledges it, as the operator does; twice at most.
evacuate() {
    local host
    for host in "$@" "$@"; do
        order "$host" "$request" && return 0
    done
    return 1
}

# count_runs FROM: prints how many requests searchers in z1 ran since FROM.
count_runs() {
    awk -v from="$1" '$2 == "run" && $5 == "zone=z1" && $1 * 1000 >= from' "$record" |
        wc -l
}

now_ms() { echo $(($(date +%s%N) / 1000000)); }

# sleep_until TIME: in ms.
sleep_until() {
    local left=$(($1 - $(now_ms)))
    [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# load SECONDS: sends a request each 0.1 s to each entry host in turn.
load() {
    local end=$((SECONDS + $1)) n=0
    while [ "$SECONDS" -lt "$end" ]; do
        n=$((n + 1))
        call $((n % 3 + 1)) "$DEADLINE_MS" "GET,/record/$n,l$RANDOM-$n," || true
        sleep 0.1
    done
}

start_standin "s1,i-s1-0,z1,$net.91:8080" "s1,i-s1-1,z1,$net.92:8080" \
    "s1,i-s1-2,z2,$net.93:8080" "s1,i-s1-3,z3,$net.94:8080"
start_fleet
cat >"$dir/config" <<J
{"version":1,"routes":[
{"name":"record","hostname":"a.example","path_prefix":"/record/","route_type":"safe","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":2}],
"services":[{"name":"s1","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
J
wait_until 20 order 1 "PUT,/-/config,c1,@$dir/config" || cannot_run "no configuration"
for n in 1 2 3; do
    wait_until 20 call_once "$n" GET /record/first "" || cannot_run "no request is served"
done
sleep $((CONTACT_WINDOW_MS / 1000))

frozen=4 # usually no leader: the first leader is one of the seeds
request="POST,/-/evacuations/z1,o1,"
evacuate 1 2 3 5 || cannot_run "the first evacuation was not acknowledged"
sleep 1
request="DELETE,/-/evacuations/z1,o2,"
withdrawn=$(now_ms)
if [ "$TROUBLE" != 0 ]; then
    note "c$frozen is frozen"
    kill -STOP "${pids[c$frozen]}"
fi
evacuate "$frozen" 1 2 3 5 || cannot_run "the withdrawal was not acknowledged"
sleep_until $((withdrawn + EVACUATE_AFTER_MS))
request="POST,/-/evacuations/z1,o3,"
evacuate 1 2 3 5 || cannot_run "the second evacuation was not acknowledged"
evacuated=$(now_ms)
note "z1 is evacuated again"
sleep_until $((withdrawn + FREEZE_MS))
if [ "$TROUBLE" != 0 ]; then
    kill -CONT "${pids[c$frozen]}"
    note "c$frozen runs again"
fi
# All hosts are in touch again, and the evacuation is due.
judged=$(($(now_ms) + CONTACT_WINDOW_MS))
if [ "$judged" -lt $((evacuated + EVACUATION_MS)) ]; then
    judged=$((evacuated + EVACUATION_MS))
fi
note "requests are judged from $((judged / 1000)).$(printf %03d $((judged % 1000)))"
sleep_until "$judged"
load "$WATCH_S"
runs=$(count_runs "$judged")
served=$(grep -c 'answer .*request=l.*status=200' "$record")
note "requests that searchers of z1 ran: $runs; requests served: $served"
[ "$served" -ge 10 ] || cannot_run "too few requests were served"
if [ "$runs" -gt 0 ]; then
    note "EVAC is broken: searchers of an evacuated data centre get requests"
    exit 1
fi
note "the rule held"
exit 0
