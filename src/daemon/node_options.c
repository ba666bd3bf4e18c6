#include "daemon/node_options.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"

#define SEEDS_MAX 31

static int
read_name(bbl_name *out, const char *text)
{
    return bbl_name_set(out, text, strlen(text));
}

static int
read_cluster(void *out, const char *text)
{
    return read_name(&((bbl_node_options *)out)->cluster, text);
}

static int
read_zone(void *out, const char *text)
{
    return read_name(&((bbl_node_options *)out)->zone, text);
}

/* An empty text leaves the address unset. */
static int
read_address(bblx_address *out, const char *text)
{
    return text[0] == '\0' ? 0 : bbl_address_parse(out, text);
}

static int
read_control_address(void *out, const char *text)
{
    return bbl_address_parse(&((bbl_node_options *)out)->control_address,
                             text);
}

static int
read_caller_address(void *out, const char *text)
{
    return read_address(&((bbl_node_options *)out)->caller_address, text);
}

static int
read_peer_address(void *out, const char *text)
{
    return read_address(&((bbl_node_options *)out)->peer_address, text);
}

static int
read_ready_address(void *out, const char *text)
{
    return read_address(&((bbl_node_options *)out)->ready_address, text);
}

static int
read_operator_address(void *out, const char *text)
{
    return read_address(&((bbl_node_options *)out)->operator_address, text);
}

static int
read_metrics_address(void *out, const char *text)
{
    return read_address(&((bbl_node_options *)out)->metrics_address, text);
}

static int
read_catalog_address(void *out, const char *text)
{
    return read_address(&((bbl_node_options *)out)->catalog_address, text);
}

static int
add_seed(void *out, const char *text)
{
    bbl_node_options *o = out;
    u_int n = o->seeds.list.list_len;
    bblx_voter *v = &o->seeds.list.list_val[n];

    if (n == SEEDS_MAX || bbl_address_parse(&v->control, text) != 0) {
        return bbl_error_set(BBL_EINVAL, "up to %d addresses a.b.c.d:port,...",
                             SEEDS_MAX);
    }
    /* The IP address is the host id; all hosts use the same control port. */
    v->role = BBLX_VOTER;
    v->host = v->control.ip;
    v->disk = v->host;
    v->control.port = o->control_address.port;
    o->seeds.list.list_len++;
    return 0;
}

static int
read_seeds(void *out, const char *text)
{
    bbl_node_options *o = out;

    free(o->seeds.list.list_val);
    o->seeds.list.list_val = bbl_calloc(SEEDS_MAX, sizeof(bblx_voter));
    o->seeds.list.list_len = 0;
    return bbl_setting_parse_list(o, text, add_seed);
}

static int
read_data_dir(void *out, const char *text)
{
    return bbl_setting_copy_text(&((bbl_node_options *)out)->data_dir, text);
}

static int
parse_switch(bool *out, const char *text)
{
    bool yes = strcmp(text, "true") == 0;

    if (!yes && strcmp(text, "false") != 0) {
        return bbl_error_set(BBL_EINVAL, "true or false");
    }
    *out = yes;
    return 0;
}

static int
read_bootstrap(void *out, const char *text)
{
    return parse_switch(&((bbl_node_options *)out)->bootstrap, text);
}

static int
read_lost_disks(void *out, const char *text)
{
    return bbl_setting_parse_number(&((bbl_node_options *)out)->lost_disks,
                                    text, 0, 7);
}

static int
read_catalog_per_s(void *out, const char *text)
{
    return bbl_setting_parse_fraction(
        &((bbl_node_options *)out)->catalog_per_s, text, 0.1, 1e6);
}

static int
read_catalog_lag(void *out, const char *text)
{
    return bbl_setting_parse_number(&((bbl_node_options *)out)->catalog_lag_ms,
                                    text, 0, 60000);
}

static int
read_caller_distance(void *out, const char *text)
{
    return bbl_setting_parse_number(
        &((bbl_node_options *)out)->caller_distance_ms, text, 0, 1000);
}

static int
read_apply_time(void *out, const char *text)
{
    return bbl_setting_parse_number(&((bbl_node_options *)out)->apply_ms, text,
                                    100, 600000);
}

/* Parses a time in seconds, which may have a fraction, as milliseconds. */
static int
read_seconds(uint32_t *out, const char *text, double min, double max)
{
    double s;
    int error = bbl_setting_parse_fraction(&s, text, min, max);

    *out = (uint32_t)(s * 1000);
    return error;
}

static int
read_grace(void *out, const char *text)
{
    return read_seconds(&((bbl_node_options *)out)->grace_ms, text, 1, 3600);
}

static int
read_extra_ratio(void *out, const char *text)
{
    return bbl_setting_parse_fraction(&((bbl_node_options *)out)->extra_ratio,
                                      text, 0, 10);
}

static int
read_extra_window(void *out, const char *text)
{
    return read_seconds(&((bbl_node_options *)out)->extra_window_ms, text, 1,
                        3600);
}

static int
read_extra_constant(void *out, const char *text)
{
    return bbl_setting_parse_fraction(
        &((bbl_node_options *)out)->extra_constant, text, 0, 1e6);
}

static int
read_quota_window(void *out, const char *text)
{
    uint32_t ms = 0;
    int error = read_seconds(&ms, text, 1, 3600);

    ((bbl_node_options *)out)->quota_limits.window = ms * BBL_USEC_PER_MS;
    return error;
}

static int
read_quota_overrun(void *out, const char *text)
{
    return bbl_setting_parse_fraction(
        &((bbl_node_options *)out)->quota_limits.overrun, text, 0.01, 1);
}

static int
read_quota_slack(void *out, const char *text)
{
    return bbl_setting_parse_fraction(
        &((bbl_node_options *)out)->quota_limits.slack, text, 0, 1e6);
}

static int
read_quota_tolerance(void *out, const char *text)
{
    return bbl_setting_parse_fraction(
        &((bbl_node_options *)out)->quota_limits.tolerance, text, 0, 1);
}

static int
read_load_admission(void *out, const char *text)
{
    return parse_switch(&((bbl_node_options *)out)->load_admission, text);
}

static int
read_heartbeat(void *out, const char *text)
{
    return bbl_setting_parse_number(&((bbl_node_options *)out)->heartbeat_ms,
                                    text, 10, 375);
}

static int
read_memory(void *out, const char *text)
{
    return bbl_setting_parse_number(&((bbl_node_options *)out)->memory_mb,
                                    text, 0, 1u << 24);
}

static int
read_log_lines(void *out, const char *text)
{
    return bbl_setting_parse_number(
        &((bbl_node_options *)out)->log_lines_per_s, text, 2, 100000);
}

static int
read_log_level(void *out, const char *text)
{
    return bbl_log_level_parse(&((bbl_node_options *)out)->log_level, text);
}

#define VARIABLE(name) "BAOBABLATCH_" name

const bbl_setting bbl_node_settings[] = {
    {"cluster", VARIABLE("CLUSTER"), "baobablatch", "", "1 to 31 bytes",
     "name of the cluster", read_cluster},
    {"data-centre", VARIABLE("DATA_CENTRE"), NULL, "", "1 to 31 bytes",
     "data centre of this host", read_zone},
    {"control-address", VARIABLE("CONTROL_ADDRESS"), NULL, "", "a.b.c.d:port",
     "where other daemons reach this one; names the host",
     read_control_address},
    {"caller-address", VARIABLE("CALLER_ADDRESS"), "", "", "a.b.c.d:port",
     "where callers send requests", read_caller_address},
    {"peer-address", VARIABLE("PEER_ADDRESS"), "", "", "a.b.c.d:port",
     "where other entry hosts send queries that they cannot answer",
     read_peer_address},
    {"ready-address", VARIABLE("READY_ADDRESS"), "", "", "a.b.c.d:port",
     "where the balancer asks whether to send callers", read_ready_address},
    {"order-address", VARIABLE("ORDER_ADDRESS"), "", "", "a.b.c.d:port",
     "where operators send orders", read_operator_address},
    {"metrics-address", VARIABLE("METRICS_ADDRESS"), "", "", "a.b.c.d:port",
     "where counters are served", read_metrics_address},
    {"catalog-address", VARIABLE("CATALOG_ADDRESS"), "", "", "a.b.c.d:port",
     "the platform's list of backend servers", read_catalog_address},
    {"seeds", VARIABLE("SEEDS"), NULL, "", "a.b.c.d:port,...",
     "hosts with a disk to ask first; the port is not used", read_seeds},
    {"data-dir", VARIABLE("DATA_DIR"), "", "", "a folder",
     "data folder; a host that has one can vote", read_data_dir},
    {"found", VARIABLE("FOUND"), "false", "", "true or false",
     "found the quorum if this host is a seed without a journal",
     read_bootstrap},
    {"lost-disks", VARIABLE("LOST_DISKS"), "1", "hosts", "0 to 7",
     "disks that may be lost at once; one more is needed before orders are "
     "acknowledged",
     read_lost_disks},
    {"catalog-calls-per-s", VARIABLE("CATALOG_CALLS_PER_S"), "40", "calls/s",
     "0.1 to 1000000", "calls that the platform takes from all hosts",
     read_catalog_per_s},
    {"catalog-lag-ms", VARIABLE("CATALOG_LAG_MS"), "800", "ms", "0 to 60000",
     "age of what the platform's list says", read_catalog_lag},
    {"caller-distance-ms", VARIABLE("CALLER_DISTANCE_MS"), "3", "ms",
     "0 to 1000", "one way between callers and this host",
     read_caller_distance},
    {"apply-ms", VARIABLE("APPLY_MS"), "3000", "ms", "100 to 600000",
     "time in which a routing must be in force everywhere", read_apply_time},
    {"grace-s", VARIABLE("GRACE_S"), "6", "s", "1 to 3600",
     "time from SIGTERM to SIGKILL", read_grace},
    {"extra-ratio", VARIABLE("EXTRA_RATIO"), "0.2", "", "0 to 10",
     "retries and hedges over first requests to a service", read_extra_ratio},
    {"extra-window-s", VARIABLE("EXTRA_WINDOW_S"), "10", "s", "1 to 3600",
     "window in which they are counted", read_extra_window},
    {"extra-constant", VARIABLE("EXTRA_CONSTANT"), "50", "requests",
     "0 to 1000000", "allowed besides in a window, of all hosts",
     read_extra_constant},
    {"quota-window-s", VARIABLE("QUOTA_WINDOW_S"), "5", "s", "1 to 3600",
     "window in which the requests of an organisation are counted",
     read_quota_window},
    {"quota-overrun", VARIABLE("QUOTA_OVERRUN"), "0.1", "", "0.01 to 1",
     "part of its limit by which they may exceed it", read_quota_overrun},
    {"quota-slack", VARIABLE("QUOTA_SLACK"), "20", "requests", "0 to 1000000",
     "allowed besides in a window, of all hosts", read_quota_slack},
    {"quota-tolerance", VARIABLE("QUOTA_TOLERANCE"), "0", "", "0 to 1",
     "part of that which is granted, not kept for faults",
     read_quota_tolerance},
    {"load-admission", VARIABLE("LOAD_ADMISSION"), "false", "",
     "true or false",
     "limit the sharded queries of all hosts together under load",
     read_load_admission},
    {"beat-ms", VARIABLE("BEAT_MS"), "200", "ms", "10 to 375",
     "time between heartbeats", read_heartbeat},
    {"memory-mb", VARIABLE("MEMORY_MB"), "0", "MB", "0 to 16777216",
     "memory that the process may use; 0: that of the host, 512 at most",
     read_memory},
    {"log-lines-per-s", VARIABLE("LOG_LINES_PER_S"), "400", "lines/s",
     "2 to 100000", "budget of the log; half is kept for failures",
     read_log_lines},
    {"log-level", VARIABLE("LOG_LEVEL"), "info", "",
     "error, warn, info or debug", "least level that is logged",
     read_log_level},
    {NULL, NULL, NULL, NULL, NULL, NULL, NULL},
};

int
bbl_node_options_read(bbl_node_options *out,
                      const char *(*value)(void *ctx, const char *flag),
                      void *ctx, const char *file)
{
    int error;

    memset(out, 0, sizeof(*out));
    error = bbl_settings_read(out, bbl_node_settings, value, ctx, file);
    if (error == 0 && out->caller_address.port == 0 && out->data_dir == NULL) {
        error = bbl_error_set(BBL_EINVAL, "a host without --data-dir needs "
                                          "--caller-address");
    }
    if (error != 0) {
        bbl_node_options_free(out);
    }
    return error;
}

void
bbl_node_options_free(bbl_node_options *o)
{
    free(o->seeds.list.list_val);
    free(o->data_dir);
    memset(o, 0, sizeof(*o));
}

size_t
bbl_node_options_get_memory(const bbl_node_options *options, size_t host_bytes)
{
    size_t most = (size_t)BBL_MEMORY_DEFAULT_MB << 20;

    if (options->memory_mb != 0) {
        return (size_t)options->memory_mb << 20;
    }
    return host_bytes < most ? host_bytes : most;
}
