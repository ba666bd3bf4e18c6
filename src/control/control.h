/*
 * control.h - the control core of one daemon: its part in the quorum if it
 * has a disk, its membership and lease, the relay of beats, and the copy of
 * the configuration that it follows. Deterministic: time and messages are
 * arguments, and everything out goes through the port.
 */
#ifndef BBL_CONTROL_H
#define BBL_CONTROL_H

#include "control/quorum.h"
#include "control/registry.h"
#include "control/rows.h"
#include "control/state.h"

#define BBL_CONTROL_OPTIONS_VERSION 1

typedef struct {
    /* Sends a message; it may be lost. */
    void (*send)(void *ctx, uint32_t host, bblx_address to,
                 const bblx_message *message);
    /* Gives the outcome of a proposal; BBL_ETIMEOUT: it is not known. */
    void (*complete_proposal)(void *ctx, uint64_t number,
                              const bblx_propose_reply *reply);
    /* Opens the disk again after it failed; NULL: this host then only
     * watches until it is started again. */
    int (*reopen_disk)(void *ctx, bbl_disk **out);
    void *ctx;
} bbl_control_port;

typedef struct {
    int version;
    uint32_t host;
    uint64_t incarnation; /* grows with each start of this host */
    uint64_t seed;
    bbl_name zone;
    bblx_address control;
    bblx_address traffic;
    bblx_address http;
    bblx_voters seeds;           /* borrowed; where to look for the leader */
    bbl_usec heartbeat_interval; /* between heartbeats of a member */
    bbl_usec lease;              /* length of a member's lease */
    bbl_usec takeover_delay;     /* longest exchange with a searcher */
    uint32_t clock_ppm;
    uint32_t relay_members; /* members from which relays are used */
    uint32_t compact_entries;
    /* Voters to keep by adding and replacing them; 0: operators do so. */
    uint32_t voters_wanted;
    uint32_t copies; /* disks that hold a command before it counts */
    bbl_usec proposal_timeout;
    bbl_control_port port;
} bbl_control_options;

#define BBL_CONTROL_OPTIONS_INIT                                              \
    {                                                                         \
        .version = BBL_CONTROL_OPTIONS_VERSION, .seed = 1,                    \
        .beat = 200 * BBL_USEC_PER_MS, .lease = 1500 * BBL_USEC_PER_MS,       \
        .hold = 1000 * BBL_USEC_PER_MS, .clock_ppm = 1000,                    \
        .relay_members = 16, .compact_entries = 1024,                         \
        .proposal_timeout = 3000 * BBL_USEC_PER_MS                            \
    }

/* Why a daemon takes no new work; BBL_READY when it does. */
typedef enum {
    BBL_READY = 0,
    BBL_UNREADY_NO_LEASE, /* no lease, or it ran out */
    BBL_UNREADY_BEHIND,   /* a newer configuration is required */
    BBL_UNREADY_NO_LISTS, /* no lists were ever applied */
    BBL_UNREADY_DRAINING,
    BBL_UNREADY_ZONE_WITHDRAWN /* the data centre is withdrawn */
} bbl_readiness;

const char *bbl_readiness_name(bbl_readiness ready);

/* Numbers for the status page. */
typedef struct {
    bbl_quorum_status quorum; /* zero on a host that does not vote */
    bool has_quorum;
    uint32_t leader;
    uint32_t parent;
    uint64_t applied;
    uint64_t required;
    uint64_t lists_version;
    bbl_usec lease_until;
    bbl_readiness ready;
    size_t claims;
    uint64_t heartbeats_sent;
    uint64_t heartbeats_relayed;
    uint64_t feeds_sent;
    uint64_t snapshots_sent;
    uint64_t voter_changes;      /* proposed by this leader */
    bbl_usec parent_answered_at; /* last grant, or the change of parent */
} bbl_control_status;

typedef struct bbl_control bbl_control;

/*
 * Makes the core. `disk` is NULL on a host that does not vote; otherwise it
 * is taken over, also on failure.
 */
int bbl_control_open(bbl_control **out, const bbl_control_options *options,
                     bbl_disk *disk, bbl_usec now);
void bbl_control_free(bbl_control *control);

/* Passes time; call at least every 10 ms. `wall_ms` stamps claims. */
void bbl_control_tick(bbl_control *control, bbl_usec now, uint64_t wall_ms);

/* Takes in one message. `incarnation` is the sender's. */
void bbl_control_step(bbl_control *control, bbl_usec now, uint32_t from,
                      const bblx_message *message);

/*
 * Proposes a command, first sent by the next tick; the outcome comes through
 * the port with the returned number. It is sent again until it is answered
 * or times out.
 */
uint64_t bbl_control_propose(bbl_control *control, bbl_usec now,
                             bbl_str command);

/* Hands in this owner's report of a searcher; `serial` is filled here. */
void bbl_control_report(bbl_control *control, const bblx_report *report);

/* Hands in the platform's list of searchers. */
void bbl_control_set_places(bbl_control *control, const bblx_place *places,
                            size_t count);

/* Hands in a whole list of backend servers, as read at `now`. */
void bbl_control_replace_catalog(bbl_control *control, bbl_usec now,
                                 const bblx_backend *backends, size_t count);

/* Returns the age of the list that this host follows; UINT64_MAX: none. */
bbl_usec bbl_control_catalog_age(const bbl_control *control, bbl_usec now);

/* Returns whether this host leads and may answer for the newest state. */
bool bbl_control_leads(const bbl_control *control, bbl_usec now);

/* Replaces where this host looks for a leader; `seeds` is borrowed. */
void bbl_control_set_seeds(bbl_control *control, bblx_voters seeds);

/*
 * Says up to which index the traffic threads of this daemon follow the
 * state; that is what the leader is told as applied.
 */
void bbl_control_confirm_applied(bbl_control *control, uint64_t applied);

/* Starts the drain of this daemon: no ownership is taken any more. */
void bbl_control_drain(bbl_control *control, bbl_usec now);

/* Says that this daemon owns nothing any more. */
void bbl_control_mark_released(bbl_control *control, bbl_usec now);

/*
 * Returns until when this daemon may accept work and use its searchers; 0
 * when it may not.
 */
bbl_usec bbl_control_lease_until(const bbl_control *control);

bbl_readiness bbl_control_get_readiness(const bbl_control *control,
                                        bbl_usec now);
void bbl_control_get_status(const bbl_control *control, bbl_usec now,
                            bbl_control_status *out);

/* Returns a number that grows with each change of state or rows. */
uint64_t bbl_control_revision(const bbl_control *control);

const bbl_state *bbl_control_state(const bbl_control *control);
const bbl_rows *bbl_control_rows(const bbl_control *control);

/* NULL unless this host has a disk. */
bbl_quorum *bbl_control_quorum(bbl_control *control);

/* The leader's member table; empty elsewhere. */
const bbl_registry *bbl_control_registry(const bbl_control *control);

/*
 * Returns whether the lists version is in force everywhere; only the leader
 * knows, elsewhere BBL_ENOTLEADER.
 *
 * @return 1 in force, 0 not yet (`waits_for` names a host), or negative
 */
int bbl_control_in_force(const bbl_control *control, bbl_usec now,
                         uint64_t version, uint32_t *waits_for);

#endif
