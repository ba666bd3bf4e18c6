#include "daemon/forward_metrics.h"

#include "daemon/metrics.h"
#include "util/clock.h"
#include "util/log.h"

#define PREFIX "baobablatch_"

static void
append_gauge(bbl_buf *out, const char *name, const char *help, double value)
{
    bbl_buf_printf(out,
                   "# HELP " PREFIX "%s %s\n# TYPE " PREFIX "%s gauge\n" PREFIX
                   "%s %.6g\n",
                   name, help, name, name, value);
}

static void
append_latency(bbl_buf *out, const bbl_histogram *h)
{
    static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

    bbl_buf_append_cstr(out, "# HELP " PREFIX
                             "request_seconds latency of answered requests\n"
                             "# TYPE " PREFIX "request_seconds summary\n");
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        bbl_buf_printf(out, PREFIX "request_seconds{quantile=\"%g\"} %.6f\n",
                       quantiles[i],
                       bbl_histogram_quantile(h, quantiles[i]) / 1e6);
    }
    bbl_buf_printf(out,
                   PREFIX "request_seconds_sum %.6f\n" PREFIX
                          "request_seconds_count %llu\n",
                   (double)h->sum / 1e6, (unsigned long long)h->count);
}

/* Appends what was refused or ended to save memory, by cause. */
static void
append_memory_causes(bbl_buf *out, const bbl_memory_account *memory)
{
    bbl_buf_append_cstr(
        out, "# HELP " PREFIX "memory_refused_total requests, responses and "
             "connections refused or ended to save memory\n"
             "# TYPE " PREFIX "memory_refused_total counter\n");
    for (int i = 0; i < BBL_MEMORY_CAUSES; i++) {
        bbl_memory_cause cause = (bbl_memory_cause)i;

        bbl_buf_printf(
            out, PREFIX "memory_refused_total{cause=\"%s\"} %llu\n",
            bbl_memory_cause_name(cause),
            (unsigned long long)bbl_memory_account_get_count(memory, cause));
    }
}

void
bbl_forward_metrics_render(bbl_buf *out, const bbl_forwarder *f,
                           const bbl_edge_counters *callers,
                           const bbl_backend_counters *b,
                           const bbl_memory_account *memory)
{
    const bbl_forward_counters *c = bbl_forwarder_get_counters(f);
    const bbl_routing *routing = bbl_forwarder_get_routing(f);

    bbl_buf_append_cstr(out,
                        "# HELP " PREFIX
                        "requests_total requests by outcome\n# TYPE " PREFIX
                        "requests_total counter\n");
    for (int i = 0; i < BBL_FORWARD_REASONS; i++) {
        bbl_buf_printf(out, PREFIX "requests_total{outcome=\"%s\"} %llu\n",
                       bbl_forward_reason_name((bbl_forward_reason)i),
                       (unsigned long long)c->outcomes[i]);
    }
    append_latency(out, &c->latency);
    append_gauge(out, "requests_open", "requests not answered yet",
                 (double)bbl_forwarder_count_open(f));
    append_gauge(out, "routing_version", "version of the routing in force",
                 (double)bbl_forwarder_get_routing_version(f));
    append_gauge(out, "organisation_keys",
                 "keys of callers in the routing in force; 0: none is needed",
                 routing != NULL ? (double)bbl_routing_key_count(routing) : 0);
    append_gauge(out, "servers_usable", "backend servers that may get work",
                 bbl_forwarder_get_reach(f)->usable);
    append_gauge(out, "servers_unreachable",
                 "backend servers that this host cannot reach",
                 bbl_forwarder_get_reach(f)->unreachable);
    append_gauge(out, "servers_rated_bad",
                 "backend servers that entry hosts have rated as bad",
                 bbl_forwarder_count_rated_bad(f, bbl_clock_now()));
    append_gauge(out, "held_memory_bytes",
                 "allocated for requests and responses",
                 (double)bbl_memory_account_get_used(memory));
    append_gauge(out, "held_memory_limit_bytes", "limit of held_memory_bytes",
                 (double)bbl_memory_account_get_limit(memory));
    bbl_metrics_append_counter(out, "held_memory_ended_total",
                               "exchanges and connections ended for memory",
                               bbl_memory_account_get_ended(memory));
    append_memory_causes(out, memory);
    bbl_metrics_append_counter(out, "oversized_responses_total",
                               "responses that were too long or did not end",
                               b->oversized);
    bbl_metrics_append_counter(out, "attempts_total",
                               "attempts sent to backend servers",
                               c->attempts);
    bbl_metrics_append_counter(out, "hedges_total",
                               "attempts beside a slow one", c->hedges);
    bbl_metrics_append_counter(out, "hedge_wins_total",
                               "hedges that answered first", c->hedge_wins);
    bbl_metrics_append_counter(out, "retries_total",
                               "attempts after a failed one", c->retries);
    bbl_metrics_append_counter(out, "shed_total",
                               "attempts that servers refused unrun",
                               c->attempts_refused);
    bbl_metrics_append_counter(out, "no_budget_total",
                               "extra attempts that were not allowed",
                               c->attempts_over_budget);
    bbl_metrics_append_counter(out, "abandoned_total",
                               "attempts ended by their connection",
                               c->attempts_cancelled);
    bbl_metrics_append_counter(out, "servers_ended_total",
                               "servers that ended while they ran an attempt",
                               c->servers_ended);
    bbl_metrics_append_counter(out, "limited_attempts_total",
                               "attempts sent to rate limited servers",
                               c->attempts_limited);
    bbl_metrics_append_counter(out, "permit_requests_total",
                               "requests for permits of limited servers",
                               c->permit_requests);
    bbl_metrics_append_counter(out, "permits_total", "permits received",
                               c->permits);
    bbl_metrics_append_counter(out, "permits_refused_total",
                               "servers for which no permit was left",
                               c->permits_refused);
    bbl_metrics_append_counter(out, "health_rows_total",
                               "observations of servers sent to other hosts",
                               c->health_rows);
    bbl_metrics_append_counter(out, "parts_moved_total",
                               "first attempts moved by what hosts tell of "
                               "servers",
                               c->parts_moved);
    bbl_metrics_append_counter(out, "admission_requests_total",
                               "requests to grantors for admission",
                               c->admission_requests);
    bbl_metrics_append_counter(out, "admission_replies_total",
                               "replies of grantors to these",
                               c->admission_replies);
    bbl_metrics_append_counter(out, "admission_refusals_total",
                               "replies that did not admit the request",
                               c->admission_refusals);
    bbl_metrics_append_counter(out, "admission_timeouts_total",
                               "requests that were not answered in time",
                               c->admission_timeouts);
    bbl_metrics_append_counter(out, "admission_returns_total",
                               "tokens returned unused", c->admission_returns);
    append_gauge(out, "load_pressure",
                 "1 while servers refuse parts for their load",
                 bbl_forwarder_is_under_pressure(f));
    append_gauge(out, "load_limited",
                 "1 while a grantor limits the load of all hosts",
                 bbl_forwarder_is_limited(f));
    bbl_metrics_append_counter(out, "load_pressure_total",
                               "times that load pressure has begun",
                               c->pressure_begun);
    bbl_metrics_append_counter(out, "load_admitted_total",
                               "queries that a grantor has admitted",
                               c->load_admitted);
    bbl_metrics_append_counter(out, "load_refused_total",
                               "queries refused for the load of all hosts",
                               c->load_refused);
    bbl_metrics_append_counter(out, "load_unanswered_total",
                               "queries run as no grantor answered for load",
                               c->load_unanswered);
    bbl_metrics_append_counter(out, "quota_refused_locally_total",
                               "requests over the limit of an organisation "
                               "refused without asking a grantor",
                               c->quota_refused_locally);
    bbl_metrics_append_counter(out, "rollout_requests_total",
                               "first attempts at services under a rollout",
                               c->rollout_first);
    bbl_metrics_append_counter(out, "rollout_target_attempts_total",
                               "attempts at new versions of these services",
                               c->rollout_target);
    bbl_metrics_append_counter(out, "delegations_total",
                               "requests passed on to another entry host",
                               c->delegations);
    bbl_metrics_append_counter(out, "delegations_refused_total",
                               "of these, refused by that host",
                               c->delegations_refused);
    bbl_metrics_append_counter(out, "delegated_requests_total",
                               "requests received from other entry hosts",
                               c->delegated_requests);
    bbl_metrics_append_counter(out, "caller_connections_total",
                               "connections of callers", callers->accepted);
    bbl_metrics_append_counter(out, "callers_left_total",
                               "callers that left unanswered",
                               callers->disconnected);
    bbl_metrics_append_counter(out, "malformed_total",
                               "requests malformed or over a limit",
                               callers->refused);
    bbl_metrics_append_counter(out, "server_connections_total",
                               "connections to backend servers", b->connects);
    bbl_metrics_append_counter(out, "server_connection_failures_total",
                               "connections that could not be opened",
                               b->connect_failures);
    bbl_metrics_append_counter(out, "stray_responses_total",
                               "responses that belonged to no request",
                               b->stray);
    bbl_metrics_append_counter(out, "log_lines_lost_total",
                               "log lines dropped", bbl_log_lost_lines());
    bbl_metrics_append_counter(out, "cpu_microseconds_total",
                               "processor time used", bbl_clock_process_cpu());
}

/* Appends what this host admits as a grantor, by priority and reason. */
static void
append_load(bbl_buf *out, const bbl_load_status *s)
{
    static const char *const reasons[BBL_LOAD_REASONS] = {"", "queue",
                                                          "deadline"};

    append_gauge(out, "load_limit", "queries of all hosts in flight, at most",
                 s->limit);
    append_gauge(out, "load_in_flight", "queries of all hosts in flight",
                 (double)s->in_flight);
    append_gauge(out, "load_waiting", "queries that wait for admission",
                 (double)s->waiting);
    bbl_buf_append_cstr(out,
                        "# HELP " PREFIX
                        "load_granted_total queries admitted\n# TYPE " PREFIX
                        "load_granted_total counter\n");
    for (unsigned i = 0; i < BBL_ORDER_PRIORITIES; i++) {
        bbl_buf_printf(out,
                       PREFIX "load_granted_total{priority=\"%u\"} %llu\n", i,
                       (unsigned long long)s->counters.admitted[i]);
    }
    bbl_buf_append_cstr(out,
                        "# HELP " PREFIX
                        "load_withheld_total queries refused\n# TYPE " PREFIX
                        "load_withheld_total counter\n");
    for (unsigned i = 0; i < BBL_ORDER_PRIORITIES; i++) {
        for (unsigned k = BBL_LOAD_REASON_QUEUE; k < BBL_LOAD_REASONS; k++) {
            bbl_buf_printf(out,
                           PREFIX "load_withheld_total{priority=\"%u\","
                                  "reason=\"%s\"} %llu\n",
                           i, reasons[k],
                           (unsigned long long)s->counters.refused[i][k]);
        }
    }
    bbl_metrics_append_counter(out, "load_reports_lost_total",
                               "queries whose end was not reported",
                               s->counters.reports_lost);
}

void
bbl_control_metrics_render(bbl_buf *out, const bbl_control_status *s,
                           bbl_usec catalog_age, uint64_t catalog_calls,
                           uint64_t operator_commands)
{
    append_gauge(out, "quorum_term", "term of the quorum",
                 (double)s->quorum.term);
    append_gauge(out, "quorum_commit", "last committed entry",
                 (double)s->quorum.commit_index);
    append_gauge(out, "quorum_leads", "1 on the leader",
                 s->quorum.role == BBL_ROLE_LEADER);
    append_gauge(out, "quorum_votes", "1 on a voter", s->quorum.counted_voter);
    append_gauge(out, "journal_failed", "1 while the disk fails",
                 s->quorum.failed);
    append_gauge(out, "state_applied", "last entry applied",
                 (double)s->applied);
    append_gauge(out, "catalog_age_seconds", "age of the list; -1: none",
                 catalog_age == UINT64_MAX ? -1 : (double)catalog_age / 1e6);
    bbl_metrics_append_counter(out, "catalog_calls_total",
                               "calls to the platform", catalog_calls);
    bbl_metrics_append_counter(out, "orders_total", "orders of operators",
                               operator_commands);
    bbl_metrics_append_counter(out, "permits_granted_total",
                               "permits for limited servers granted",
                               s->permits_granted);
    bbl_metrics_append_counter(out, "permits_withheld_total",
                               "servers for which no permit was granted",
                               s->permits_withheld);
    bbl_metrics_append_counter(out, "quota_granted_total",
                               "requests of organisations admitted",
                               s->quota_granted);
    bbl_metrics_append_counter(out, "quota_refused_total",
                               "requests over the limit of an organisation",
                               s->quota_refused);
    bbl_metrics_append_counter(out, "quota_returned_total",
                               "admitted requests that did not run",
                               s->quota_returned);
    append_load(out, &s->load);
    append_gauge(out, "rollouts_running", "rollouts that have not ended",
                 (double)s->rollouts_running);
    bbl_metrics_append_counter(out, "rollout_counts_total",
                               "messages with counts for rollouts received",
                               s->rollout_counts);
    bbl_metrics_append_counter(out, "feeds_received_total",
                               "feeds from the parent", s->feeds_received);
    bbl_metrics_append_counter(out, "feeds_ignored_total",
                               "feeds from other hosts than the parent",
                               s->feeds_ignored);
    bbl_metrics_append_counter(out, "grants_received_total",
                               "leases granted by the leader",
                               s->grants_received);
    bbl_metrics_append_counter(out, "grants_ignored_total",
                               "leases granted for other heartbeats",
                               s->grants_ignored);
    bbl_metrics_append_counter(out, "feeds_sent_total", "feeds to followers",
                               s->feeds_sent);
    bbl_metrics_append_counter(out, "snapshots_sent_total",
                               "whole states to followers", s->snapshots_sent);
    bbl_metrics_append_counter(out, "log_lines_lost_total",
                               "log lines dropped", bbl_log_lost_lines());
    bbl_metrics_append_counter(out, "cpu_microseconds_total",
                               "processor time used", bbl_clock_process_cpu());
}
