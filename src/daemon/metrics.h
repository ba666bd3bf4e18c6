/*
 * metrics.h - the text forms of counters and of the state dump.
 */
#ifndef BBL_METRICS_H
#define BBL_METRICS_H

#include "control/control.h"
#include "net/mesh.h"
#include "net/searcher_client.h"
#include "policy/dispatch.h"
#include "policy/gather.h"

/* The figures of a traffic thread; all borrowed. */
typedef struct {
    const bbl_gather_counters *gather;
    const bbl_dispatch_counters *dispatch;
    const bbl_searcher_counters *searchers;
    const bbl_mesh_counters *mesh;
    size_t open_queries;
    size_t running_exchanges;
    bbl_usec hedge_delay;
    uint64_t searcher_connects;
    bbl_usec thread_cpu;
} bbl_traffic_stats;

/* Appends a counter in the text form; `help` may be NULL. */
void bbl_metrics_append_counter(bbl_buf *out, const char *name,
                                const char *help, uint64_t value);

/* Appends the counters in the text exposition format. */
void bbl_metrics_render(bbl_buf *out, uint32_t host,
                        const bbl_traffic_stats *figures);

/* Appends the traffic part of the dump, which closes the JSON object. */
void bbl_dump_append_traffic(bbl_buf *out, const bbl_traffic_stats *figures,
                             const bbl_dispatch *dispatch);

/* Appends the control part of the dump, up to a comma for the next part. */
void bbl_dump_append_control(bbl_buf *out, bbl_control *control, bbl_usec now,
                             const bbl_mesh_counters *mesh);

/* Appends the status as a JSON object. */
void bbl_status_render(bbl_buf *out, bbl_control *control, uint32_t host,
                       bbl_usec now);

#endif
