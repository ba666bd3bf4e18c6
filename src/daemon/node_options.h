/*
 * node_options.h - the settings of `baobablatch forward`, which runs an entry
 * host or a control host of a deployment that routes requests.
 */
#ifndef BBL_DAEMON_NODE_OPTIONS_H
#define BBL_DAEMON_NODE_OPTIONS_H

#include "admission/quota_book.h"
#include "daemon/settings.h"
#include "model/codec.h"
#include "util/log.h"

#define BBL_MEMORY_DEFAULT_MB 512

typedef struct {
    bbl_name cluster;
    bbl_name zone; /* data centre of this host */
    /* Other daemons connect to this address; its IP address is the host id. */
    bblx_address control_address;
    bblx_address caller_address; /* port 0: this host accepts no callers */
    /* Other entry hosts delegate queries to this address; port 0: none do. */
    bblx_address peer_address;
    /* Load balancers query readiness here; port 0: none do. */
    bblx_address ready_address;
    bblx_address operator_address; /* port 0: no operator commands here */
    bblx_address metrics_address;  /* port 0: no metrics are served */
    /* The platform's list of backend servers; port 0: this host reads none. */
    bblx_address catalog_address;
    bblx_voters seeds;    /* owned; hosts with a disk, at the control port */
    char *data_dir;       /* owned; NULL: no disk */
    bool bootstrap;       /* whether a seed without a journal creates one */
    uint32_t lost_disks;  /* number of disks that may be lost at once */
    double catalog_per_s; /* platform's limit of calls by all hosts together */
    uint32_t catalog_lag_ms;     /* maximum lag of the platform list */
    uint32_t caller_distance_ms; /* one-way delay between callers and host */
    uint32_t apply_ms; /* in which all hosts must apply a new routing */
    uint32_t grace_ms; /* from SIGTERM to SIGKILL */
    /* Limits of extra requests (retries and hedges) to one service: in each
     * window, `extra_ratio` for each first request, and `extra_constant` more
     * for all entry hosts together. */
    double extra_ratio;
    uint32_t extra_window_ms;
    double extra_constant;
    bbl_quota_limits quota_limits; /* bound on the requests of organisations */
    bool load_admission; /* grantors limit the sharded queries of all hosts */
    uint32_t heartbeat_ms; /* interval of a member's heartbeats */
    uint32_t memory_mb;    /* see bbl_node_options_get_memory; 0: not set */
    uint32_t log_lines_per_s;
    bbl_log_level log_level;
} bbl_node_options;

/* The settings; a row whose flag is NULL ends the table. */
extern const bbl_setting bbl_node_settings[];

/*
 * Reads all settings.
 *
 * @param out   owned by the caller on success; free it with
 *              bbl_node_options_free
 * @param value returns the text given for a flag, or NULL
 * @param file  the settings file, or NULL
 * @return 0, or BBL_EINVAL with a message that names the setting
 */
int bbl_node_options_read(bbl_node_options *out,
                          const char *(*value)(void *ctx, const char *flag),
                          void *ctx, const char *file);
void bbl_node_options_free(bbl_node_options *options);

/*
 * Returns the memory that the process may use, in bytes. Without a setting it
 * is that of the host, but BBL_MEMORY_DEFAULT_MB at most: a large host runs
 * other processes too.
 *
 * @param host_bytes memory of the host; 0 if it is not known
 */
size_t bbl_node_options_get_memory(const bbl_node_options *options,
                                   size_t host_bytes);

#endif
