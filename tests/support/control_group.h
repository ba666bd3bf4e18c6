/*
 * control_group.h - control cores over a simulated network without loss or
 * delay. Hosts 1 to 3 are the seeds; 4 to 6 have a disk too, 7 and 8 have
 * none. A group wants five voters and bears the loss of two disks, unless a
 * test sets other numbers before the first start.
 */
#ifndef BBL_TEST_CONTROL_GROUP_H
#define BBL_TEST_CONTROL_GROUP_H

#include "control/control.h"
#include "support/memdisk.h"

#define GROUP_HOSTS 8
#define GROUP_STEP_US 5000u

typedef struct {
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} group_packet;

typedef struct {
    bbl_control *control;
    memdisk disk;
    bool disconnected;
    unsigned side; /* hosts reach only those of their side */
    bool draining; /* set by tests */
    bbl_usec frozen_until;
    uint64_t proposal; /* number of the last proposal */
    int outcome;
    bool answered;
} group_host;

typedef struct {
    bbl_usec now;
    uint64_t starts;
    group_host hosts[GROUP_HOSTS + 1];
    bbl_vec packets;
    uint32_t voters_wanted;
    uint32_t copies;
    u_int seed_count;
    bblx_voter seeds[3];
    uint32_t compact_entries; /* 0: the default */
} control_group;

/* Opens a group without running hosts. */
control_group *control_group_open(void);

/* Opens a group of five voters; host 6 does not run. */
control_group *control_group_open_grown(void);
void control_group_close(control_group *sim);

/* Starts a host. With `bootstraps`, a seed creates the journal of the group.
 */
void control_group_start_host(control_group *sim, uint32_t h, bool bootstraps);

/* Ends a host; it loses what it has not synced. */
void control_group_stop_host(control_group *sim, uint32_t h);
void control_group_wipe_disk(control_group *sim, uint32_t h);
bool control_group_is_frozen(const control_group *sim, uint32_t h);
void control_group_run_for(control_group *sim, bbl_usec duration);

/* Proposes a routing version at a host. */
void control_group_submit_routing(control_group *sim, uint32_t h,
                                  uint64_t version, const char *text);

/* The same, and returns whether it is acknowledged within 1 s. */
bool control_group_propose_routing(control_group *sim, uint32_t h,
                                   uint64_t version, const char *text);
uint64_t control_group_routing_version_at(const control_group *sim,
                                          uint32_t h);

/* Returns the host that holds the leader lease, 0 if none does. */
uint32_t control_group_find_leader(const control_group *sim);

/* Counts the voters that the leader knows; all, or only one host. */
unsigned control_group_count_voters(const control_group *sim, uint32_t only);

#endif
