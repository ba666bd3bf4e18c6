/*
 * node_options.h - the settings of `baobablatch forward`, which runs an
 * entry host or a control host of a deployment that routes requests.
 */
#ifndef BBL_DAEMON_NODE_OPTIONS_H
#define BBL_DAEMON_NODE_OPTIONS_H

#include "daemon/settings.h"
#include "model/codec.h"
#include "util/log.h"

typedef struct {
    bbl_name cluster;
    bbl_name zone;                 /* data centre of this host */
    bblx_address control_address;  /* for other daemons */
    bblx_address caller_address;   /* port 0: this host takes no callers */
    bblx_address ready_address;    /* port 0: nobody asks */
    bblx_address operator_address; /* port 0: operators do not call here */
    bblx_address metrics_address;  /* port 0: none */
    bblx_address catalog_address;  /* the platform's list; port 0: none */
    bblx_voters seeds;    /* owned; hosts with a disk, at the control port */
    char *data_dir;       /* NULL: no disk */
    bool bootstrap;       /* the whole cluster starts for the first time */
    uint32_t lost_disks;  /* to be borne at once */
    double catalog_per_s; /* calls, of all hosts together */
    uint32_t catalog_lag_ms;
    uint32_t caller_distance_ms;
    uint32_t apply_ms; /* in which a routing must be in force everywhere */
    uint32_t grace_ms; /* from SIGTERM to SIGKILL */
    double extra_ratio;
    uint32_t extra_window_ms;
    double extra_constant;
    uint32_t heartbeat_ms;
    uint32_t log_lines_per_s;
    bbl_log_level log_level;
} bbl_node_options;

/* The settings; the last row has no flag. */
extern const bbl_setting bbl_node_settings[];

/* Reads all settings; returns 0, or BBL_EINVAL naming the setting. */
int bbl_node_options_read(bbl_node_options *out,
                          const char *(*value)(void *ctx, const char *flag),
                          void *ctx, const char *file);
void bbl_node_options_free(bbl_node_options *options);

#endif
