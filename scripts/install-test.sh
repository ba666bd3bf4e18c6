#!/usr/bin/env bash
# install-test.sh BUILD - installs a build to a staging folder and checks the
# installed files.
set -euo pipefail
cd "$(dirname "$0")/.."
stage=$(mktemp -d)
trap 'rm -rf "$stage"' EXIT
DESTDIR=$stage cmake --install "$1" --prefix /usr >/dev/null
"$stage/usr/bin/baobablatch" --version | grep -q '^baobablatch '
"$stage/usr/bin/baobablatch" --help | grep -q 'lists'
for subcommand in serve forward explain init lists status dump drain voter query check; do
    # Every subcommand has its own --help and --version.
    "$stage/usr/bin/baobablatch" "$subcommand" --version | grep -q '^baobablatch '
    [ "$subcommand" = lists ] || "$stage/usr/bin/baobablatch" "$subcommand" --help >/dev/null
done
"$stage/usr/bin/baobablatch" lists check examples/plans.conf examples/allowances.conf
# An error in a list is reported with the name of the file and the line.
printf '[allowance g]\nshare = 10\n' >"$stage/bad.conf"
rc=0
message=$("$stage/usr/bin/baobablatch" lists check examples/plans.conf \
    "$stage/bad.conf" 2>&1) || rc=$?
[ "$rc" -ne 0 ] && grep -q "$stage/bad.conf:2: " <<<"$message"
# A routing that can be sent but has an entry without effect: exit code 1.
printf '{"version":1,"routes":[],"services":[{"name":"s"}]}' >"$stage/routing.json"
rc=0
message=$("$stage/usr/bin/baobablatch" check "$stage/routing.json") || rc=$?
[ "$rc" -eq 1 ] && grep -q '"s": no route uses it' <<<"$message"
# An invalid setting prevents the start: the message names the setting and the
# exit code is 2.
rc=0
message=$("$stage/usr/bin/baobablatch" serve --host-id nine 2>&1) || rc=$?
[ "$rc" -eq 2 ] && grep -q 'host-id' <<<"$message"
test -s "$stage/usr/share/man/man1/baobablatch.1"
test -s "$stage/usr/lib/systemd/system/baobablatch.service"
test -s "$stage/usr/share/bash-completion/completions/baobablatch"
