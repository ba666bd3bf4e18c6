#!/usr/bin/env bash
# run.sh - a core machine is replaced as planned: its successor first, then
# SIGTERM. Right after it has left, two others lose their disks. See claim.txt.
# With TROUBLE=0 no disk is lost.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt # what is sent, answered and run
: >"$record"
. "$here/../support-2/fleet.sh"

# Longer than catch_up_s, 4 s, for which a new machine counts as lost.
successor_head_start_s=8
wipe_delay_s=0.2     # from the end of the machine that leaves
power_off_s=1
read_back_s=40       # recover_s is 12 s, contact_window_ms 4,000

log() { echo "$(date +%T.%3N) $*" | tee -a "$record"; }

# read_back HOST: prints the version that a control host returns, if it does.
read_back() {
    local status
    status=$(curl -sL -m 1 -o "$dir/read" -w '%{http_code}' "http://$net.1.$1:8106/-/config")
    echo "$(date +%T.%3N) read sent to core machine $1, answered $status" >>"$record"
    [ "$status" = 200 ] &&
        sed -n 's/^{"version":\([0-9]*\),.*/\1/p;q' "$dir/read"
}

for n in 1 2 3 4 5; do start_control "$n" true; done
write_config 7
wait_until put_config "$dir/config.json" 2 || unable "the first configuration was not acknowledged"
log "version 7 acknowledged by five core machines"
sleep 4
start_control 6 false
log "core machine 6 starts with an empty disk, the successor of 1"
sleep $successor_head_start_s
write_config 9
wait_until put_config "$dir/config.json" 3 || unable "the second configuration was not acknowledged"
log "version 9 acknowledged"
stop_host TERM c1
log "core machine 1 has left after SIGTERM, for good"
if [ "${TROUBLE:-1}" != 0 ]; then
    sleep $wipe_delay_s
    kill -9 "${pids[c2]}" "${pids[c3]}"
    wait "${pids[c2]}" "${pids[c3]}" 2>/dev/null
    rm -rf "$dir/c2" "$dir/c3"
    log "core machines 2 and 3 have lost their disks"
    sleep $power_off_s
    start_control 2 false
    start_control 3 false
    log "core machines 2 and 3 are back with empty disks"
fi

deadline=$(($(date +%s) + read_back_s))
while [ "$(date +%s)" -lt $deadline ]; do
    for n in 2 3 4 5 6; do
        version=$(read_back $n) || version=
        if [ -n "$version" ]; then
            log "core machine $n returns version $version"
            [ "$version" -ge 9 ] || exit 1
            exit 0
        fi
    done
    sleep 0.5
done
log "no core machine returned a configuration in $read_back_s s"
write_config 11
for n in 2 3 4 5 6; do
    log "a change sent to core machine $n: status $(curl -s -L -m 5 -o /dev/null -w '%{http_code}' \
        -X PUT --data-binary "@$dir/config.json" "http://$net.1.$n:8106/-/config")"
done
exit 1
