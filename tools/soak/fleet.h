/*
 * fleet.h - the daemons of a soak run, as processes of the program under test.
 *
 * Hosts have the numbers 0 to SOAK_HOSTS - 1: the control hosts first, then
 * the entry hosts. In runs with a spare, SOAK_SPARE is a sixth control host.
 * Functions that signal a host do nothing if it has no process.
 */
#ifndef BBL_SOAK_FLEET_H
#define BBL_SOAK_FLEET_H

#include <stdbool.h>
#include <sys/types.h>

#include "bbl/types.h"

#define SOAK_CONTROL_HOSTS 5
#define SOAK_ENTRY_HOSTS 3
#define SOAK_HOSTS (SOAK_CONTROL_HOSTS + SOAK_ENTRY_HOSTS)
#define SOAK_SPARE SOAK_HOSTS
#define SOAK_CONTROL_HOSTS_MAX (SOAK_CONTROL_HOSTS + 1) /* with the spare */
#define SOAK_PROCESSES (SOAK_HOSTS + 1)
/* Maximum number of control hosts that lose their disks at the same time. */
#define SOAK_LOST_DISKS_MAX 2

typedef struct {
    char name[8];        /* c1 to c6, e1 to e3; empty before a start */
    pid_t pid;           /* 0 if no process exists */
    bool paused;         /* whether SIGSTOP was sent, and no SIGCONT since */
    bool draining;       /* whether SIGTERM was sent */
    bool replaced;       /* its disk is lost once it has ended */
    bbl_usec restart_at; /* when to start the process again; 0 if not set */
    bbl_usec resume_at;  /* when to send SIGCONT to a paused process */
    /* Until then, time bounds are not checked for requests to this host. */
    bbl_usec disturbed_until;
} soak_host;

typedef struct {
    const char *program;
    const char *folder; /* for logs and data; must exist */
    soak_host hosts[SOAK_PROCESSES];
} soak_fleet;

bool soak_fleet_is_control(unsigned host);

/*
 * Starts the process of a host.
 *
 * @param bootstrap whether a control host may create a new control group;
 *                  ignored for entry hosts
 * @return 0 or BBL_EIO
 */
int soak_fleet_start(soak_fleet *fleet, unsigned host, bool bootstrap);

/* Sends SIGKILL and waits until the process has ended. */
void soak_fleet_kill(soak_fleet *fleet, unsigned host);

/* Sends SIGTERM; the process drains and exits later. */
void soak_fleet_terminate(soak_fleet *fleet, unsigned host);

/* Sends SIGSTOP, or SIGCONT to a paused process. */
void soak_fleet_pause(soak_fleet *fleet, unsigned host);
void soak_fleet_resume(soak_fleet *fleet, unsigned host);

/* Removes the data folder of a host, which must have no process. */
void soak_fleet_wipe(soak_fleet *fleet, unsigned host);

/*
 * Returns for how long the threads of a host have waited for a processor since
 * their start, microseconds; 0 if the system does not tell.
 */
bbl_usec soak_fleet_get_run_delay(const soak_fleet *fleet, unsigned host);

/* Returns whether `matches` returns true for a line in the log of a control
 * host. */
bool soak_fleet_find_log_line(const soak_fleet *fleet,
                              bool (*matches)(const char *line,
                                              const char *text),
                              const char *text);

/* Returns whether all control hosts have become voters, but for the spare. */
bool soak_fleet_has_all_voters(const soak_fleet *fleet);

/* Returns whether the spare has become a learner. */
bool soak_fleet_has_spare(const soak_fleet *fleet);

/*
 * Collects the exit status of ended processes. Stops at the first one that
 * ended without SIGTERM.
 *
 * @return the host of that process, or -1
 */
int soak_fleet_reap(soak_fleet *fleet);

/* Sends SIGKILL to all processes and waits until they have ended. */
void soak_fleet_kill_all(soak_fleet *fleet);

#endif
