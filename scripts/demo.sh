#!/usr/bin/env bash
# demo.sh - starts three daemons and the stand-ins for the searchers and the
# platform, sends two queries, applies one change of the lists and shuts all
# processes down gracefully. Exits with 0 if every step succeeds.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
CLUSTER_BIN=${CLUSTER_BIN:-$root/build}
CLUSTER_DIR=$(mktemp -d)
CLUSTER_PORT=${CLUSTER_PORT:-21000}
. "$root/scripts/cluster.sh"
cluster_init
start_standin demo --service-us 3000

echo "== start three daemons, each with its own data folder"
for n in 1 2 3; do start_daemon "$n" --drain-lag-ms 200; done
BAOBABLATCH_ADMIN=$(daemon_list daemon_admin 3)
export BAOBABLATCH_ADMIN
wait_for operator lists show
wait_for operator lists apply --expected 0 --change first \
    "$root/examples/plans.conf" "$root/examples/allowances.conf"
for n in 1 2 3; do wait_for daemon_ready "$n"; done

query() {
    operator query --http "$(daemon_http "$1")" \
        "{\"request_id\":\"demo-$1-$2\",\"customer\":\"temple-north\",
          \"deadline_ms\":500,\"shards\":\"all\",\"query\":\"rack of 40 pairs\"}"
}
complete_answer() { query "$1" probe | grep -q '"answered":6,"missing":\[\]'; }
wait_for complete_answer 1
wait_for complete_answer 2

echo "== a query through daemon 1 and one through daemon 2"
query 1 a
query 2 b

echo "== withdraw data centre dc3 for all plans"
sed 's/^\[data-centre dc1\]/[data-centre dc3]\nstate = withdrawn\n\n&/' \
    "$root/examples/allowances.conf" >"$CLUSTER_DIR/allowances.conf"
operator lists apply --expected 1 "$root/examples/plans.conf" \
    "$CLUSTER_DIR/allowances.conf"
for n in 1 2 3; do
    echo "daemon $n: $(operator status --admin "$(daemon_admin "$n")" |
        grep -o '"ready":"[^"]*"\|"lists_version":[0-9]*' | tr '\n' ' ')"
done
query 1 c

echo "== shut down"
for n in 3 2 1; do kill -TERM "$(daemon_pid "$n")"; done
for n in 3 2 1; do wait "$(daemon_pid "$n")"; done
kill -TERM "$STANDIN_PID"
wait "$STANDIN_PID"
rm -rf "$CLUSTER_DIR"
echo "demo: all steps succeeded"
