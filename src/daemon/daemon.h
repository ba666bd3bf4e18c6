/*
 * daemon.h - one `baobablatch serve` process: its threads, their sockets and
 * its graceful shutdown.
 */
#ifndef BBL_DAEMON_H
#define BBL_DAEMON_H

#include "daemon/options.h"

/*
 * Runs a daemon until SIGTERM or SIGINT and a whole graceful shutdown.
 *
 * @return 0, or a negative error number when it could not start
 */
int bbl_daemon_run(const bbl_daemon_options *options);

#endif
