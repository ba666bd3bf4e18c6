#include "daemon/options.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"

#define KEY_BYTES 32
#define VOTERS_MAX 31

int
bbl_key_read(uint8_t *key, const char *path)
{
    char text[2 * KEY_BYTES + 1] = "";
    FILE *f = fopen(path, "re");
    size_t n;
    size_t size;

    if (f == NULL) {
        return bbl_error_set(BBL_EINVAL, "%s: %s", path, strerror(errno));
    }
    n = fread(text, 1, 2 * KEY_BYTES, f);
    fclose(f);
    if (sodium_hex2bin(key, KEY_BYTES, text, n, NULL, &size, NULL) != 0 ||
        size != KEY_BYTES) {
        return bbl_error_set(BBL_EINVAL, "a key file must hold 64 hex digits");
    }
    return 0;
}

static int
read_host(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->host, text, 1, 0x7fffffff);
}

static int
read_cluster(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_name_set(&o->cluster, text, strlen(text));
}

static int
read_key_file(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_key_read(o->key, text);
}

static int
read_zone(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_name_set(&o->zone, text, strlen(text));
}

static int
read_control_address(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_address_parse(&o->control_address, text);
}

static int
read_traffic_address(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_address_parse(&o->traffic_address, text);
}

static int
read_http_address(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_address_parse(&o->http_address, text);
}

static int
read_admin_address(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_address_parse(&o->admin_address, text);
}

static int
add_voter(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    u_int n = o->voters.list.list_len;
    bblx_voter *v = &o->voters.list.list_val[n];
    const char *equals = strchr(text, '=');
    char number[16];

    if (n == VOTERS_MAX || equals == NULL ||
        (size_t)(equals - text) >= sizeof(number)) {
        return bbl_error_set(BBL_EINVAL,
                             "voters must be written HOST=a.b.c.d:port,...");
    }
    memcpy(number, text, (size_t)(equals - text));
    number[equals - text] = '\0';
    v->role = BBLX_VOTER;
    if (bbl_setting_parse_number(&v->host, number, 1, 0x7fffffff) != 0 ||
        bbl_address_parse(&v->control, equals + 1) != 0) {
        return bbl_error_set(BBL_EINVAL,
                             "voters must be written HOST=a.b.c.d:port,...");
    }
    v->disk = v->host;
    o->voters.list.list_len++;
    return 0;
}

static int
read_voters(void *out, const char *text)
{
    bbl_daemon_options *o = out;

    o->voters.list.list_val = bbl_calloc(VOTERS_MAX, sizeof(bblx_voter));
    return bbl_setting_parse_list(o, text, add_voter);
}

static int
read_data_dir(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_copy_text(&o->data_dir, text);
}

static int
read_platform_url(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    if (text[0] != '\0' && strncmp(text, "http://", 7) != 0) {
        return bbl_error_set(BBL_EINVAL,
                             "must be a URL that starts with http://");
    }
    return bbl_setting_copy_text(&o->platform_url, text);
}

static int
read_operator_token(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_copy_text(&o->operator_token, text);
}

static int
read_policy(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    if (strcmp(text, "owner") != 0 && strcmp(text, "baseline") != 0) {
        return bbl_error_set(BBL_EINVAL, "must be owner or baseline");
    }
    return bbl_setting_copy_text(&o->policy, text);
}

static int
read_hedge_budget(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->hedge_ppm, text, 0, 500000);
}

static int
read_heartbeat(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->heartbeat_ms, text, 10, 1000);
}

static int
read_lease(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->lease_ms, text, 500, 10000);
}

static int
read_exchange_max(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->exchange_max_ms, text, 10, 60000);
}

static int
read_clock_error(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->clock_error_ppm, text, 0, 50000);
}

static int
read_relay_members(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->relay_members, text, 2, 1000000);
}

static int
read_drain_lag(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->drain_lag_ms, text, 0, 60000);
}

static int
read_http_threads(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->http_threads, text, 2, 64);
}

static int
read_compact_entries(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_setting_parse_number(&o->compact_entries, text, 16, 1000000);
}

static int
read_log_level(void *out, const char *text)
{
    bbl_daemon_options *o = out;
    return bbl_log_level_parse(&o->log_level, text);
}

#define ENV(name) "BAOBABLATCH_" name

static const bbl_setting settings[] = {
    {"host-id", ENV("HOST_ID"), NULL, "", "1 to 2147483647",
     "number of this host, unique in the cluster", read_host},
    {"cluster", ENV("CLUSTER"), NULL, "", "1 to 31 bytes",
     "name of the cluster", read_cluster},
    {"key-file", ENV("KEY_FILE"), NULL, "", "a readable file",
     "file with the shared key, 64 hex digits", read_key_file},
    {"data-centre", ENV("DATA_CENTRE"), NULL, "", "1 to 31 bytes",
     "data centre of this host", read_zone},
    {"control-address", ENV("CONTROL_ADDRESS"), NULL, "", "a.b.c.d:port",
     "where other daemons reach the control thread", read_control_address},
    {"traffic-address", ENV("TRAFFIC_ADDRESS"), NULL, "", "a.b.c.d:port",
     "where other daemons reach the traffic thread", read_traffic_address},
    {"http-address", ENV("HTTP_ADDRESS"), NULL, "", "a.b.c.d:port",
     "where callers send queries", read_http_address},
    {"admin-address", ENV("ADMIN_ADDRESS"), NULL, "", "a.b.c.d:port",
     "where operators send commands", read_admin_address},
    {"voters", ENV("VOTERS"), NULL, "", "HOST=a.b.c.d:port,...",
     "founding voters and their control addresses", read_voters},
    {"data-dir", ENV("DATA_DIR"), "", "", "a folder",
     "data folder; a host that has one can vote", read_data_dir},
    {"platform-url", ENV("PLATFORM_URL"), "", "", "http://...",
     "the platform's list of hosts", read_platform_url},
    {"operator-token", ENV("OPERATOR_TOKEN"), "", "", "",
     "bearer token that operators must show", read_operator_token},
    {"policy", ENV("POLICY"), "owner", "", "owner or baseline",
     "who decides what a searcher receives", read_policy},
    {"hedge-ppm", ENV("HEDGE_PPM"), "40000", "parts per million",
     "0 to 500000", "hedges over first sub-requests", read_hedge_budget},
    {"beat-ms", ENV("BEAT_MS"), "200", "ms", "10 to 1000",
     "time between heartbeats", read_heartbeat},
    {"lease-ms", ENV("LEASE_MS"), "1500", "ms", "500 to 10000",
     "length of a member's lease", read_lease},
    {"exchange-max-ms", ENV("EXCHANGE_MAX_MS"), "1000", "ms", "10 to 60000",
     "longest exchange with a searcher", read_exchange_max},
    {"clock-error-ppm", ENV("CLOCK_ERROR_PPM"), "1000", "parts per million",
     "0 to 50000", "bound on the rate error of any host's clock",
     read_clock_error},
    {"relay-members", ENV("RELAY_MEMBERS"), "16", "hosts", "2 to 1000000",
     "members from which relays are used", read_relay_members},
    {"drain-lag-ms", ENV("DRAIN_LAG_MS"), "2000", "ms", "0 to 60000",
     "time the balancer needs to notice a drain", read_drain_lag},
    {"http-threads", ENV("HTTP_THREADS"), "2", "threads", "2 to 64",
     "threads that serve callers", read_http_threads},
    {"compact-entries", ENV("COMPACT_ENTRIES"), "1024", "entries",
     "16 to 1000000", "log entries before a snapshot", read_compact_entries},
    {"log-level", ENV("LOG_LEVEL"), "info", "", "error, warn, info or debug",
     "least level that is logged", read_log_level},
    {NULL, NULL, NULL, NULL, NULL, NULL, NULL},
};

const bbl_setting *
bbl_daemon_setting_at(size_t i)
{
    return i + 1 < sizeof(settings) / sizeof(settings[0]) ? &settings[i]
                                                          : NULL;
}

int
bbl_daemon_options_read(bbl_daemon_options *out,
                        const char *(*value)(void *ctx, const char *flag),
                        void *ctx)
{
    int error;

    memset(out, 0, sizeof(*out));
    error = bbl_settings_read(out, settings, value, ctx, NULL);
    if (error == 0 && out->lease_ms < 4 * out->heartbeat_ms) {
        error = bbl_error_set(BBL_EINVAL,
                              "--lease-ms must be at least 4 times --beat-ms");
    }
    return error;
}

void
bbl_daemon_options_free(bbl_daemon_options *o)
{
    free(o->voters.list.list_val);
    free(o->data_dir);
    free(o->platform_url);
    free(o->operator_token);
    free(o->policy);
}
