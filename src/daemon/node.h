/*
 * node.h - the process of `baobablatch forward`. Its control thread takes
 * part in the quorum, reads the list of backend servers and executes operator
 * commands. An entry host also runs a traffic thread, see gateway.h.
 */
#ifndef BBL_DAEMON_NODE_H
#define BBL_DAEMON_NODE_H

#include "daemon/node_options.h"
#include "forward/dialect.h"

/*
 * Runs the process until a graceful shutdown has ended. SIGTERM and SIGINT
 * start the shutdown.
 *
 * @param options borrowed until the function returns
 * @param reread  reads the settings again into `out`, which the process then
 *                owns; returns 0 or a negative error. It is called on SIGHUP
 *                and repeatedly while there is no leader; only the seeds of
 *                the new settings take effect.
 * @param ctx     passed to `reread`
 * @return 0, or a negative error if the process could not start
 */
int bbl_node_run(const bbl_node_options *options, const bbl_dialect *dialect,
                 int (*reread)(bbl_node_options *out, void *ctx), void *ctx);

#endif
