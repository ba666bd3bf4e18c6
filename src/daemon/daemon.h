/*
 * daemon.h - one `baobablatch serve` process: its control thread, its traffic
 * thread, its HTTP servers and its graceful shutdown.
 */
#ifndef BBL_DAEMON_H
#define BBL_DAEMON_H

#include "daemon/options.h"

/*
 * Runs a daemon on the calling thread, which becomes the control thread.
 * SIGTERM, SIGINT or the drain command of an operator starts the graceful
 * shutdown; the function returns when the shutdown is complete.
 *
 * @param options borrowed until the function returns
 * @return 0, or a negative error number if the daemon could not start
 */
int bbl_daemon_run(const bbl_daemon_options *options);

#endif
