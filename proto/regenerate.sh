#!/bin/sh
# Regenerates proto/gen from wire.x. Needs rpcgen (Debian package rpcsvc-proto).
set -eu
cd "$(dirname "$0")"
rm -f gen/wire.h gen/wire_xdr.c
rpcgen -N -h -o gen/wire.h wire.x
rpcgen -N -c -o gen/wire_xdr.c wire.x
sed -i 's#include "wire.h"#include "gen/wire.h"#' gen/wire_xdr.c
