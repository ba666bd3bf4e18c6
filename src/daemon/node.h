/*
 * node.h - one process of `baobablatch forward`: the control thread with its
 * part in the quorum, the list of backend servers, the operators' orders,
 * and on an entry host the traffic thread.
 */
#ifndef BBL_DAEMON_NODE_H
#define BBL_DAEMON_NODE_H

#include "daemon/node_options.h"
#include "forward/dialect.h"

/*
 * Runs until a graceful shutdown has ended.
 *
 * @param reread called at SIGHUP, and when no leader answers: reads the
 *               settings again into its argument; returns 0 or an error
 * @return 0, or a negative error number when it could not start
 */
int bbl_node_run(const bbl_node_options *options, const bbl_dialect *dialect,
                 int (*reread)(bbl_node_options *out, void *ctx), void *ctx);

#endif
