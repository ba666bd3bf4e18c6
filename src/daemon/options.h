/*
 * options.h - the settings of `baobablatch serve`, read from flags and from
 * environment variables. A flag takes precedence over its variable.
 */
#ifndef BBL_DAEMON_OPTIONS_H
#define BBL_DAEMON_OPTIONS_H

#include "model/codec.h"
#include "daemon/settings.h"
#include "util/log.h"

typedef struct {
    uint32_t host;
    bbl_name cluster;
    uint8_t key[32]; /* shared key of the cluster's daemons */
    bbl_name zone;
    bblx_address control_address;
    bblx_address traffic_address;
    bblx_address http_address;
    bblx_address admin_address;
    bblx_voters voters;    /* owned; the voters at bootstrap */
    char *data_dir;        /* NULL: this host never votes */
    char *platform_url;    /* NULL: no list of searchers is fetched */
    char *operator_token;  /* NULL: operators need no token */
    char *policy;          /* "owner" or "baseline" */
    uint32_t hedge_ppm;    /* hedge budget per first sub-request */
    uint32_t heartbeat_ms; /* interval between heartbeats */
    uint32_t lease_ms;
    uint32_t exchange_max_ms; /* maximum duration of one exchange */
    uint32_t clock_error_ppm; /* bound on any clock's rate error */
    uint32_t relay_members;   /* minimum members for heartbeat relays */
    uint32_t drain_lag_ms;    /* time for the balancer to notice a drain */
    uint32_t http_threads;    /* threads of the server for callers */
    uint32_t compact_entries; /* log entries before a snapshot */
    bbl_log_level log_level;
} bbl_daemon_options;

/* Returns setting `i` of `baobablatch serve`, or NULL past the last one. */
const bbl_setting *bbl_daemon_setting_at(size_t i);

/*
 * Reads all settings. Free `out` with bbl_daemon_options_free, also after an
 * error.
 *
 * @param value returns the text given for a flag, or NULL
 * @param ctx   passed to `value`
 * @return 0, or BBL_EINVAL with an error message that names the setting
 */
int bbl_daemon_options_read(bbl_daemon_options *out,
                            const char *(*value)(void *ctx, const char *flag),
                            void *ctx);

/* Frees what the options own, not the structure itself. */
void bbl_daemon_options_free(bbl_daemon_options *options);

/*
 * Reads a key file, which holds 64 hexadecimal digits.
 *
 * @param key  receives 32 bytes
 * @return 0, or BBL_EINVAL with an error message
 */
int bbl_key_read(uint8_t *key, const char *path);

#endif
