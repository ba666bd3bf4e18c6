/*
 * forward_metrics.h - the counters of hosts that forward requests, in the
 * text exposition format.
 */
#ifndef BBL_DAEMON_FORWARD_METRICS_H
#define BBL_DAEMON_FORWARD_METRICS_H

#include "control/control.h"
#include "forward/forwarder.h"
#include "net/backend_link.h"
#include "net/edge.h"

/* Appends the counters of a traffic thread. */
void bbl_forward_metrics_render(bbl_buf *out, const bbl_forwarder *forwarder,
                                const bbl_edge_counters *callers,
                                const bbl_backend_counters *backends);

/* Appends what a control thread knows. */
void bbl_control_metrics_render(bbl_buf *out, const bbl_control_status *status,
                                bbl_usec catalog_age, uint64_t catalog_calls,
                                uint64_t orders);

#endif
