/*
 * fleet.h - the daemons of a soak: real processes of the program under test,
 * started, signalled and awaited by their ids.
 */
#ifndef BBL_SOAK_FLEET_H
#define BBL_SOAK_FLEET_H

#include <stdbool.h>
#include <sys/types.h>

#include "bbl/types.h"

#define SOAK_CONTROL_HOSTS 5
#define SOAK_ENTRY_HOSTS 3
#define SOAK_HOSTS (SOAK_CONTROL_HOSTS + SOAK_ENTRY_HOSTS)
/* Disks that may be lost at once. */
#define SOAK_LOST_DISKS_MAX 2

typedef struct {
    char name[8];        /* c1 to c5, e1 to e3 */
    pid_t pid;           /* 0: not running */
    bool paused;         /* by SIGSTOP */
    bool draining;       /* SIGTERM was sent */
    bbl_usec restart_at; /* 0: no restart is due */
    bbl_usec resume_at;
    /* No promise with a time bound holds for it before that. */
    bbl_usec disturbed_until;
} soak_host;

typedef struct {
    const char *program;
    const char *folder; /* of logs and data */
    soak_host hosts[SOAK_HOSTS];
} soak_fleet;

/* Returns whether a host is one of the control hosts. */
bool soak_fleet_is_control(unsigned host);

/* Starts a process; `found`: the first start of all. */
int soak_fleet_start(soak_fleet *fleet, unsigned host, bool found);

/* Ends a process at once, or asks it to end. */
void soak_fleet_kill(soak_fleet *fleet, unsigned host);
void soak_fleet_terminate(soak_fleet *fleet, unsigned host);

void soak_fleet_pause(soak_fleet *fleet, unsigned host);
void soak_fleet_resume(soak_fleet *fleet, unsigned host);

/* Removes what a host keeps; its process must not run. */
void soak_fleet_wipe(soak_fleet *fleet, unsigned host);

/*
 * Notes ended processes.
 *
 * @return a host that ended by itself, or -1
 */
int soak_fleet_reap(soak_fleet *fleet);

/* Ends all processes and awaits them. */
void soak_fleet_kill_all(soak_fleet *fleet);

#endif
