/*
 * list_plan.h - decides when a host reads the platform's list of backend
 * servers.
 *
 * The leader reads the list for all hosts and distributes it with the feed. A
 * control host reads it when it starts, in case it is elected. An entry host
 * reads it itself when it gets none. Load pattern: all hosts start at once, or
 * the leader is silent for seconds, and the platform limits the calls of all
 * hosts together. If every entry host then read the whole list, the leader
 * would be refused, and all of them would have to go on reading.
 */
#ifndef BBL_LIST_PLAN_H
#define BBL_LIST_PLAN_H

#include "bbl/types.h"

typedef struct {
    bool leads;     /* this host is the leader */
    bool entry;     /* this host serves callers */
    bool has_lease; /* a leader has answered lately */
    /* Age of the list, microseconds; UINT64_MAX without a whole list. */
    bbl_usec age;
    bbl_usec uptime;      /* time since the start of this host, microseconds */
    double pages;         /* pages of the list; an estimate */
    unsigned entry_hosts; /* 0 if not known */
    double calls_per_s;   /* limit of the platform for all hosts together */
    double spread;        /* 0 to 1; differs between hosts */
} bbl_list_plan_input;

/* Returns whether to read the list now. */
bool bbl_list_plan_should_read(const bbl_list_plan_input *in);

/* Returns the time from the start of a read to the next one, microseconds. */
bbl_usec bbl_list_plan_get_interval(const bbl_list_plan_input *in);

#endif
