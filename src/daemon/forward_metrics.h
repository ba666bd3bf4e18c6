/*
 * forward_metrics.h - renders the metrics of hosts that forward requests, in
 * the Prometheus text exposition format.
 */
#ifndef BBL_DAEMON_FORWARD_METRICS_H
#define BBL_DAEMON_FORWARD_METRICS_H

#include "control/control.h"
#include "forward/forwarder.h"
#include "net/backend_link.h"
#include "net/edge.h"
#include "net/memory_account.h"

/* Appends the metrics of a traffic thread. */
void bbl_forward_metrics_render(bbl_buf *out, const bbl_forwarder *forwarder,
                                const bbl_edge_counters *callers,
                                const bbl_backend_counters *backends,
                                const bbl_memory_account *memory);

/*
 * Appends the metrics of a control thread.
 *
 * @param catalog_age   age of the list of backend servers; UINT64_MAX if none
 * @param catalog_calls calls to the platform
 */
void bbl_control_metrics_render(bbl_buf *out, const bbl_control_status *status,
                                bbl_usec catalog_age, uint64_t catalog_calls,
                                uint64_t operator_commands);

#endif
