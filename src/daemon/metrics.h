/*
 * metrics.h - the metrics page, the state dump and the status page.
 */
#ifndef BBL_METRICS_H
#define BBL_METRICS_H

#include "control/control.h"
#include "net/mesh.h"
#include "net/searcher_client.h"
#include "policy/dispatch.h"
#include "policy/gather.h"

/* Statistics of a traffic thread; the pointers are borrowed. */
typedef struct {
    const bbl_gather_counters *gather;
    const bbl_dispatch_counters *dispatch;
    const bbl_searcher_counters *searchers;
    const bbl_mesh_counters *mesh;
    size_t open_queries;
    size_t running_exchanges;
    bbl_usec hedge_delay;       /* current wait before a hedge */
    uint64_t searcher_connects; /* connections opened to searchers */
    bbl_usec thread_cpu;        /* CPU time used by the traffic thread */
} bbl_traffic_stats;

/*
 * Appends one counter in the Prometheus text format.
 *
 * @param name without the prefix "baobablatch_"
 * @param help text of the HELP line; NULL: no such line
 */
void bbl_metrics_append_counter(bbl_buf *out, const char *name,
                                const char *help, uint64_t value);

/* Appends all metrics of a daemon in the Prometheus text format. */
void bbl_metrics_render(bbl_buf *out, uint32_t host,
                        const bbl_traffic_stats *stats);

/* Appends the last part of the state dump and closes its JSON object. */
void bbl_dump_append_traffic(bbl_buf *out, const bbl_traffic_stats *stats,
                             const bbl_dispatch *dispatch);

/*
 * Appends the control part of the state dump, without the opening brace and
 * with a comma at its end; bbl_dump_append_traffic appends the rest.
 */
void bbl_dump_append_control(bbl_buf *out, bbl_control *control, bbl_usec now,
                             const bbl_mesh_counters *mesh);

/* Appends the status of this host as a JSON object. */
void bbl_status_render(bbl_buf *out, bbl_control *control, uint32_t host,
                       bbl_usec now);

#endif
