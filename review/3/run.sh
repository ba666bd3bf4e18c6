#!/usr/bin/env bash
# run.sh - a searcher that is full refuses requests, and sends some of its
# answers a second time, late. Checks that no request that may run once runs
# twice, and that none runs that is answered 503.
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../support/fleet.sh
source "$case_dir/../support/fleet.sh"
DEADLINE_MS=3000     # of rack-record, mtfra-search
CLIENTS=2           # of each service at each entry host
LOAD_S=45
WORK_MS=10
SERVICES=6
PAUSE_MS=20         # longest, of a client after an answer

options=()
[ "$TROUBLE" = 0 ] || options=(--extra)
searchers=()
routes=()
services=()
for n in $(seq "$SERVICES"); do
    searchers+=("s$n,i-s$n-0,z1,$net.$((100 + n)):8080" "s$n,i-s$n-1,z2,$net.$((120 + n)):8080")
    routes+=("{\"name\":\"r$n\",\"hostname\":\"a.example\",\"path_prefix\":\"/record$n/\",\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"s$n\",\"max_attempts\":2}")
    services+=("{\"name\":\"s$n\",\"health_path\":\"/healthz\",\"max_connections\":26,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}")
done
start_standin "${options[@]}" --work-ms "$WORK_MS" "${searchers[@]}"
start_fleet
(
    IFS=,
    cat >"$dir/config" <<J
{"version":1,"routes":[${routes[*]}],"services":[${services[*]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
J
)
wait_until 20 order 1 "PUT,/-/config,c1,@$dir/config" || cannot_run "no configuration"
for n in 1 2 3; do
    wait_until 20 call_once "$n" POST /record1/first "100" || cannot_run "no request is served"
done

note "load"
for n in 1 2 3; do
    for k in $(seq "$SERVICES"); do
        for i in $(seq "$CLIENTS"); do
            timeout "$LOAD_S" "$tools/caller" "$net.$((10 + n)):8104" "$DEADLINE_MS" \
                a.example "$DEADLINE_MS" "POST,/record$k/x,l$n.$k.$i,100,1000000,$PAUSE_MS" >>"$record" &
            pids[load$n.$k.$i]=$!
        done
    done
done
for name in "${!pids[@]}"; do
    case $name in
        load*)
            wait "${pids[$name]}"
            unset "pids[$name]"
            ;;
    esac
done
sleep 1
cp "$record" "$dir/all"

# Requests that ran more than once, and those that ran and were answered 503.
sed -n 's/.* run .* request=\([^ ]*\) .*/\1/p' "$dir/all" | sort | uniq -d >"$dir/twice"
sed -n 's/.* run .* request=\([^ ]*\) .*/\1/p' "$dir/all" | sort -u >"$dir/ran"
sed -n 's/.* answer .* request=\([^ ]*\) .* status=\(503\|429\) .*/\1/p' "$dir/all" | sort -u >"$dir/refused"
comm -12 "$dir/ran" "$dir/refused" >"$dir/refused-ran"
note "ran: $(wc -l <"$dir/ran"), refused: $(wc -l <"$dir/refused"), copies: $(grep -c " copy id=" "$dir/all")"
note "ran twice: $(wc -l <"$dir/twice") $(head -n 3 "$dir/twice" | tr '\n' ' ')"
note "refused and ran: $(wc -l <"$dir/refused-ran") $(head -n 3 "$dir/refused-ran" | tr '\n' ' ')"
[ "$(wc -l <"$dir/ran")" -ge 100 ] || cannot_run "too few requests ran"
if [ -s "$dir/twice" ] || [ -s "$dir/refused-ran" ]; then
    note "TWICE or REFUSED is broken"
    exit 1
fi
note "the rule held"
exit 0
