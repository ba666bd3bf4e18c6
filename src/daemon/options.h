/*
 * options.h - the settings of `baobablatch serve`, from flags and from
 * environment variables. A flag goes before its variable.
 */
#ifndef BBL_DAEMON_OPTIONS_H
#define BBL_DAEMON_OPTIONS_H

#include "model/codec.h"
#include "daemon/settings.h"
#include "util/log.h"

typedef struct {
    uint32_t host;
    bbl_name cluster;
    uint8_t key[32];
    bbl_name zone;
    bblx_address control_address;
    bblx_address traffic_address;
    bblx_address http_address;
    bblx_address admin_address;
    bblx_voters voters;   /* owned */
    char *data_dir;       /* NULL: this host does not vote */
    char *platform_url;   /* NULL: never asked */
    char *operator_token; /* NULL: operators need none */
    char *policy;         /* "owner" or "baseline" */
    uint32_t hedge_ppm;
    uint32_t heartbeat_ms;
    uint32_t lease_ms;
    uint32_t exchange_max_ms;
    uint32_t clock_error_ppm;
    uint32_t relay_members;
    uint32_t drain_lag_ms;
    uint32_t http_threads;
    uint32_t compact_entries;
    bbl_log_level log_level;
} bbl_daemon_options;

/* Returns setting `i`, or NULL past the last. */
const bbl_setting *bbl_daemon_setting_at(size_t i);

/*
 * Reads all settings.
 *
 * @param value returns the text given for a flag, or NULL
 * @return 0, or BBL_EINVAL with a message naming the setting
 */
int bbl_daemon_options_read(bbl_daemon_options *out,
                            const char *(*value)(void *ctx, const char *flag),
                            void *ctx);
void bbl_daemon_options_free(bbl_daemon_options *options);

/* Reads a key file: 64 hexadecimal digits. */
int bbl_key_read(uint8_t *key, const char *path);

#endif
