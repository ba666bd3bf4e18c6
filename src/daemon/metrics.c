#include "daemon/metrics.h"

#include "util/clock.h"

static const char *const role_names[] = {"follower", "candidate", "leader"};
static const char *const phase_names[] = {"cold", "warm", "leaving",
                                          "held", "down", "released"};

/* ---- metrics ---- */

void
bbl_metrics_append_counter(bbl_buf *out, const char *name, const char *help,
                           uint64_t value)
{
    if (help != NULL) {
        bbl_buf_printf(out, "# HELP baobablatch_%s %s\n", name, help);
    }
    bbl_buf_printf(out, "# TYPE baobablatch_%s counter\nbaobablatch_%s %llu\n",
                   name, name, (unsigned long long)value);
}

static void
append_counter(bbl_buf *out, const char *name, uint64_t value)
{
    bbl_metrics_append_counter(out, name, NULL, value);
}

static void
append_gauge(bbl_buf *out, const char *name, uint64_t value)
{
    bbl_buf_printf(out, "# TYPE baobablatch_%s gauge\nbaobablatch_%s %llu\n",
                   name, name, (unsigned long long)value);
}

static void
append_latency(bbl_buf *out, const bbl_histogram *h)
{
    static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

    bbl_buf_append_cstr(out, "# TYPE baobablatch_query_latency_us summary\n");
    for (size_t i = 0; i < 4; i++) {
        bbl_buf_printf(out,
                       "baobablatch_query_latency_us{quantile=\"%g\"} %u\n",
                       quantiles[i], bbl_histogram_quantile(h, quantiles[i]));
    }
    bbl_buf_printf(out,
                   "baobablatch_query_latency_us_sum %llu\n"
                   "baobablatch_query_latency_us_count %llu\n",
                   (unsigned long long)h->sum, (unsigned long long)h->count);
}

static void
append_gather(bbl_buf *out, const bbl_gather_counters *g)
{
    append_counter(out, "queries_total", g->queries);
    bbl_buf_append_cstr(out, "# TYPE baobablatch_answers_total counter\n");
    for (int i = 0; i <= BBL_ANSWER_RECORDED; i++) {
        bbl_buf_printf(out, "baobablatch_answers_total{outcome=\"%s\"} %llu\n",
                       bbl_answer_kind_name((bbl_answer_kind)i),
                       (unsigned long long)g->answered[i]);
    }
    bbl_buf_append_cstr(out,
                        "# TYPE baobablatch_missing_shards_total counter\n");
    for (int i = 1; i < BBL_MISSING_REASON_COUNT; i++) {
        bbl_buf_printf(
            out, "baobablatch_missing_shards_total{reason=\"%s\"} %llu\n",
            bbl_missing_reason_name((bbl_missing_reason)i),
            (unsigned long long)g->missing[i]);
    }
    append_counter(out, "shards_asked_total", g->shards_requested);
    append_counter(out, "first_sends_total", g->first_sends);
    append_counter(out, "hedges_total", g->hedges);
    append_counter(out, "hedge_wins_total", g->hedge_wins);
    append_counter(out, "replaced_total", g->replaced);
    append_counter(out, "hedges_denied_total", g->hedges_denied);
    append_counter(out, "retries_total", g->retries);
    append_counter(out, "moves_total", g->busy_refusals);
    append_counter(out, "restarts_total", g->restarts);
    append_counter(out, "suspicions_total", g->suspicions);
    append_counter(out, "late_results_total", g->late_results);
    append_counter(out, "foreign_results_total", g->foreign_results);
    append_latency(out, &g->latency_us);
}

static void
append_dispatch(bbl_buf *out, const bbl_dispatch_counters *d)
{
    append_counter(out, "sub_requests_total", d->requests);
    append_counter(out, "exchanges_total", d->started);
    append_counter(out, "exchange_hedges_total", d->hedges);
    append_counter(out, "exchanges_answered_total", d->answered);
    append_counter(out, "dropped_late_total", d->dropped_late);
    append_counter(out, "dropped_full_total", d->dropped_full);
    append_counter(out, "sent_back_total", d->refused_busy);
    append_counter(out, "slow_runs_total", d->slow);
    append_counter(out, "not_owner_total", d->not_owner);
    append_counter(out, "withdrawn_total", d->withdrawn);
    append_counter(out, "searcher_refusals_total", d->refused_by_searcher);
    append_counter(out, "searcher_silences_total", d->timed_out_or_broken);
    append_counter(out, "searcher_probes_total", d->cancelled_unresponsive);
    append_counter(out, "cold_turns_total", d->warm_to_cold);
    append_counter(out, "stale_exchange_results_total", d->stale_results);
    append_counter(out, "slot_busy_us_total", d->busy_us);
}

static void
append_net(bbl_buf *out, const bbl_traffic_stats *stats)
{
    append_counter(out, "searcher_cancels_total", stats->searchers->cancels);
    append_counter(out, "searcher_infos_total",
                   stats->searchers->info_requests);
    append_counter(out, "searcher_fresh_total",
                   stats->searchers->fresh_connections);
    append_counter(out, "searcher_connects_total", stats->searcher_connects);
    append_counter(out, "mesh_frames_sent_total", stats->mesh->frames_sent);
    append_counter(out, "mesh_frames_received_total",
                   stats->mesh->frames_received);
    append_counter(out, "mesh_bytes_sent_total", stats->mesh->bytes_sent);
    append_counter(out, "mesh_bytes_received_total",
                   stats->mesh->bytes_received);
    append_counter(out, "mesh_dropped_total", stats->mesh->dropped_frames);
    append_counter(out, "mesh_refused_total",
                   stats->mesh->refused_connections);
    append_counter(out, "mesh_silent_total", stats->mesh->silent_connections);
}

void
bbl_metrics_render(bbl_buf *out, uint32_t host, const bbl_traffic_stats *stats)
{
    append_gauge(out, "host_id", host);
    append_gather(out, stats->gather);
    append_dispatch(out, stats->dispatch);
    append_net(out, stats);
    append_gauge(out, "open_queries", stats->open_queries);
    append_gauge(out, "running_exchanges", stats->running_exchanges);
    append_gauge(out, "hedge_delay_us", stats->hedge_delay);
    append_counter(out, "traffic_cpu_us_total", stats->thread_cpu);
    append_counter(out, "process_cpu_us_total", bbl_clock_process_cpu());
}

/* ---- dump ---- */

void
bbl_dump_append_traffic(bbl_buf *out, const bbl_traffic_stats *stats,
                        const bbl_dispatch *dispatch)
{
    bbl_dispatch_searcher row;
    const char *comma = "";

    bbl_buf_printf(out,
                   "\"traffic\":{\"open_queries\":%zu,\"running\":%zu,"
                   "\"hedge_delay_us\":%llu,\"queries\":%llu,"
                   "\"first_sends\":%llu,\"hedges\":%llu,"
                   "\"retries\":%llu},\"searchers\":[",
                   stats->open_queries, stats->running_exchanges,
                   (unsigned long long)stats->hedge_delay,
                   (unsigned long long)stats->gather->queries,
                   (unsigned long long)stats->gather->first_sends,
                   (unsigned long long)stats->gather->hedges,
                   (unsigned long long)stats->gather->retries);
    for (size_t i = 0; bbl_dispatch_searcher_at(dispatch, i, &row); i++) {
        bbl_buf_printf(out,
                       "%s{\"searcher\":%u,\"phase\":\"%s\",\"limit\":%u,"
                       "\"running\":%u,\"queued\":%u,\"boot\":\"%llx\","
                       "\"service_us\":%u}",
                       comma, row.searcher, phase_names[row.phase], row.limit,
                       row.running, row.queued, (unsigned long long)row.boot,
                       row.service_us);
        comma = ",";
    }
    bbl_buf_append_cstr(out, "]}\n");
}

static void
append_name(bbl_buf *out, const bblx_name *name)
{
    bbl_buf_printf(out, "\"%.*s\"", (int)name->bblx_name_len,
                   name->bblx_name_val);
}

static void
append_members(bbl_buf *out, bbl_control *c, bbl_usec now)
{
    const bbl_registry *registry = bbl_control_registry(c);
    const bblx_member_row *m;
    const char *comma = "";
    size_t pos = 0;

    bbl_buf_append_cstr(out, "\"members\":[");
    while ((m = bbl_rows_next_member(bbl_control_rows(c), &pos)) != NULL) {
        const bbl_member *known = bbl_registry_get_member(registry, m->host);

        bbl_buf_printf(out, "%s{\"host\":%u,\"live\":%s,\"draining\":%s,",
                       comma, m->host, m->live ? "true" : "false",
                       m->draining ? "true" : "false");
        bbl_buf_append_cstr(out, "\"data_centre\":");
        append_name(out, &m->zone);
        if (known != NULL) {
            bbl_buf_printf(
                out, ",\"applied\":%llu,\"lease_left_ms\":%llu",
                (unsigned long long)known->applied,
                (unsigned long long)(known->lease_end > now
                                         ? (known->lease_end - now) / 1000
                                         : 0));
        }
        bbl_buf_append_cstr(out, "}");
        comma = ",";
    }
    bbl_buf_append_cstr(out, "]");
}

static void
append_voters(bbl_buf *out, bbl_control *c, bbl_usec now)
{
    bbl_quorum *q = bbl_control_quorum(c);
    const bblx_voters *voters = bbl_state_voters(bbl_control_state(c));
    const bbl_quorum_peer *peers = NULL;
    size_t peer_count = 0;

    if (q != NULL) {
        peer_count = bbl_quorum_get_peers(q, now, &peers);
    }
    bbl_buf_append_cstr(out, "\"voters\":[");
    for (u_int i = 0; i < voters->list.list_len; i++) {
        const bblx_voter *v = &voters->list.list_val[i];

        bbl_buf_printf(out, "%s{\"host\":%u,\"role\":\"%s\"", i ? "," : "",
                       v->host, v->role == BBLX_VOTER ? "voter" : "learner");
        for (size_t k = 0; k < peer_count; k++) {
            if (peers[k].host == v->host) {
                bbl_buf_printf(
                    out, ",\"match\":%llu,\"silent_ms\":%llu",
                    (unsigned long long)peers[k].match_index,
                    (unsigned long long)(peers[k].time_since_reply / 1000));
            }
        }
        bbl_buf_append_cstr(out, "}");
    }
    bbl_buf_append_cstr(out, "]");
}

static void
append_status(bbl_buf *out, bbl_control *c, uint32_t host, bbl_usec now)
{
    bbl_control_status s;

    bbl_control_get_status(c, now, &s);
    bbl_buf_printf(
        out,
        "\"host\":%u,\"ready\":\"%s\",\"leader\":%u,\"parent\":%u,"
        "\"lists_version\":%llu,\"applied\":%llu,\"required\":%llu,"
        "\"lease_left_ms\":%llu,\"claims\":%zu,",
        host, bbl_readiness_name(s.ready), s.leader, s.parent,
        (unsigned long long)s.lists_version, (unsigned long long)s.applied,
        (unsigned long long)s.required,
        (unsigned long long)(s.lease_until > now ? (s.lease_until - now) / 1000
                                                 : 0),
        s.claims);
    if (s.has_quorum) {
        bbl_buf_printf(out,
                       "\"quorum\":{\"role\":\"%s\",\"term\":%llu,"
                       "\"last\":%llu,\"commit\":%llu,\"snapshot\":%llu,"
                       "\"voter\":%s,\"journal_failed\":%s},",
                       role_names[s.quorum.role],
                       (unsigned long long)s.quorum.term,
                       (unsigned long long)s.quorum.last_index,
                       (unsigned long long)s.quorum.commit_index,
                       (unsigned long long)s.quorum.snapshot_index,
                       s.quorum.counted_voter ? "true" : "false",
                       s.quorum.failed ? "true" : "false");
    }
    append_voters(out, c, now);
    bbl_buf_append_cstr(out, ",");
    append_members(out, c, now);
}

void
bbl_status_render(bbl_buf *out, bbl_control *c, uint32_t host, bbl_usec now)
{
    bbl_buf_append_cstr(out, "{");
    append_status(out, c, host, now);
    bbl_buf_append_cstr(out, "}\n");
}

static void
append_assignments(bbl_buf *out, bbl_control *c)
{
    const bblx_assign *a;
    const char *comma = "";
    size_t pos = 0;

    bbl_buf_append_cstr(out, "\"owners\":[");
    while ((a = bbl_state_next_assignment(bbl_control_state(c), &pos)) !=
           NULL) {
        const bblx_report *r =
            bbl_rows_get_report(bbl_control_rows(c), a->place.searcher);

        bbl_buf_printf(out,
                       "%s{\"searcher\":%u,\"owner\":%u,\"epoch\":%llu,"
                       "\"leaving\":%s,\"phase\":\"%s\",\"data_centre\":",
                       comma, a->place.searcher, a->owner,
                       (unsigned long long)a->epoch,
                       a->place.leaving ? "true" : "false",
                       r ? phase_names[r->phase] : "unknown");
        append_name(out, &a->place.zone);
        bbl_buf_append_cstr(out, "}");
        comma = ",";
    }
    bbl_buf_append_cstr(out, "]");
}

void
bbl_dump_append_control(bbl_buf *out, bbl_control *c, bbl_usec now,
                        const bbl_mesh_counters *mesh)
{
    bbl_control_status s;

    bbl_control_get_status(c, now, &s);
    append_status(out, c, 0, now);
    bbl_buf_printf(out,
                   ",\"control\":{\"beats_sent\":%llu,\"beats_relayed\":%llu,"
                   "\"feeds_sent\":%llu,\"snapshots_sent\":%llu,"
                   "\"mesh_bytes_sent\":%llu,\"mesh_bytes_received\":%llu,"
                   "\"thread_cpu_us\":%llu},",
                   (unsigned long long)s.heartbeats_sent,
                   (unsigned long long)s.heartbeats_relayed,
                   (unsigned long long)s.feeds_sent,
                   (unsigned long long)s.snapshots_sent,
                   (unsigned long long)mesh->bytes_sent,
                   (unsigned long long)mesh->bytes_received,
                   (unsigned long long)bbl_clock_thread_cpu());
    append_assignments(out, c);
    bbl_buf_append_cstr(out, ",");
}
