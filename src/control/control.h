/*
 * control.h - the control core of one daemon: its part in the quorum if it
 * has a disk, its membership and lease, the relay of heartbeats, and the copy
 * of the configuration that it follows. It is deterministic: time and
 * messages are arguments, and all output goes through the port.
 *
 * Times are microseconds of the local monotonic clock.
 */
#ifndef BBL_CONTROL_H
#define BBL_CONTROL_H

#include "admission/load_book.h"
#include "admission/quota_book.h"
#include "control/permit_book.h"
#include "control/quorum.h"
#include "control/registry.h"
#include "control/rows.h"
#include "control/state.h"
#include "rollout/judge.h"

#define BBL_CONTROL_OPTIONS_VERSION 1

/* What the leader has decided on a rollout, and from what; see
 * rollout/plan.h. */
typedef struct {
    const bblx_rollout *rollout; /* before the decision */
    bblx_rollout_state state;    /* after it */
    uint32_t share;              /* after it, in 1/10000 */
    const char *reason;          /* static string */
    bbl_verdict verdict;
    double evidence; /* see bbl_judge_get_evidence */
    bbl_judge_sample old_sum;
    bbl_judge_sample target_sum;
    unsigned target_slots;
    unsigned other_slots;
    bbl_usec left; /* until the deadline */
} bbl_rollout_decision;

typedef struct {
    /* Sends a message, which may be lost. */
    void (*send)(void *ctx, uint32_t host, bblx_address to,
                 const bblx_message *message);
    /* Returns the bytes sent to a host that it has not acknowledged; they
     * limit the changes that are sent to it. NULL if this is not known. */
    size_t (*backlog)(void *ctx, uint32_t host);
    /* Reports the outcome of a proposal; BBL_ETIMEOUT: it is unknown. */
    void (*complete_proposal)(void *ctx, uint64_t number,
                              const bblx_propose_reply *reply);
    /* Passes on the answer to a request for permits; may be NULL. */
    void (*permits_received)(void *ctx, const bblx_permit_reply *reply);
    /* Passes on a grantor's reply about the admission of a query; may be
     * NULL. */
    void (*admission_received)(void *ctx, uint32_t grantor,
                               const bblx_admission_reply *reply);
    /* Returns whether a host has announced that it accepts a message kind;
     * NULL if all do. */
    bool (*accepts_kind)(void *ctx, uint32_t host, bblx_kind kind);
    /* Reports a decision on a rollout, on the leader; may be NULL. */
    void (*rollout_decided)(void *ctx, const bbl_rollout_decision *decision);
    /* Reopens the disk after a failure. If NULL, a host whose disk failed
     * takes no part in the quorum until it is restarted. */
    int (*reopen_disk)(void *ctx, bbl_disk **out);
    void *ctx;
} bbl_control_port;

typedef struct {
    int version;
    uint32_t host;
    uint64_t incarnation; /* differs for each start of this host */
    uint64_t seed;
    bbl_name zone;
    bblx_address control;
    bblx_address traffic;
    bblx_address http;
    bblx_voters seeds;           /* borrowed; hosts to ask for the leader */
    bbl_usec heartbeat_interval; /* of a member */
    bbl_usec lease;              /* duration of a member's lease */
    bbl_usec takeover_delay;     /* longest exchange with a searcher */
    uint32_t clock_ppm;          /* bound on clock rate error */
    uint32_t relay_members;      /* members from which relays are used */
    uint32_t compact_entries;    /* log entries kept before a snapshot */
    /* Number of voters that the leader maintains by adding and replacing
     * hosts; 0 leaves this to operators. */
    uint32_t voters_wanted;
    uint32_t copies; /* disks that store a command before it is committed */
    bbl_usec proposal_timeout;
    bbl_quota_limits quota_limits; /* of the quotas of organisations */
    bbl_control_port port;
} bbl_control_options;

#define BBL_CONTROL_OPTIONS_INIT                                              \
    {                                                                         \
        .version = BBL_CONTROL_OPTIONS_VERSION, .seed = 1,                    \
        .heartbeat_interval = 200 * BBL_USEC_PER_MS,                          \
        .lease = 1500 * BBL_USEC_PER_MS,                                      \
        .takeover_delay = 1000 * BBL_USEC_PER_MS, .clock_ppm = 1000,          \
        .relay_members = 16, .compact_entries = 1024,                         \
        .proposal_timeout = 3000 * BBL_USEC_PER_MS,                           \
        .quota_limits = BBL_QUOTA_LIMITS_INIT                                 \
    }

/* Why a daemon accepts no new work; BBL_READY if it does. */
typedef enum {
    BBL_READY = 0,
    BBL_UNREADY_NO_LEASE, /* no lease, or an expired one */
    BBL_UNREADY_BEHIND,   /* the lease requires a newer configuration */
    BBL_UNREADY_NO_LISTS, /* no lists have been applied yet */
    BBL_UNREADY_DRAINING,
    BBL_UNREADY_ZONE_WITHDRAWN /* the data centre is withdrawn */
} bbl_readiness;

const char *bbl_readiness_name(bbl_readiness ready);

/* Values for the status page. */
typedef struct {
    bbl_quorum_status quorum; /* zero on a host that does not vote */
    bool has_quorum;
    uint32_t leader; /* 0 if unknown */
    uint32_t parent; /* host that this one sends its heartbeats to */
    uint64_t applied;
    uint64_t required; /* index to apply before the lease may be used */
    uint64_t lists_version;
    bbl_usec lease_until;
    bbl_readiness ready;
    size_t claims;
    uint64_t heartbeats_sent;
    uint64_t heartbeats_relayed;
    uint64_t feeds_sent;
    uint64_t feeds_received; /* from the parent */
    uint64_t feeds_ignored;  /* from other hosts, or while this host leads */
    uint64_t grants_received;
    uint64_t grants_ignored; /* not for a recent heartbeat of this process */
    uint64_t snapshots_sent;
    uint64_t voter_changes;    /* proposed while this host led */
    uint64_t permits_granted;  /* for servers that limit their rate */
    uint64_t permits_withheld; /* servers without a permit left */
    uint64_t quota_granted;    /* requests admitted by this grantor */
    uint64_t quota_refused;    /* requests over the limit */
    uint64_t quota_returned;   /* tokens of requests that did not run */
    bbl_load_status load;      /* that this host admits as a grantor */
    size_t rollouts_running;
    uint64_t rollout_counts; /* messages with counts received as the leader */
    bbl_usec parent_answered_at; /* last grant or change of parent */
} bbl_control_status;

typedef struct bbl_control bbl_control;

/*
 * Creates the core.
 *
 * @param disk  NULL on a host that does not vote; the core takes ownership,
 *              also on failure. If it is full or fails and the port can reopen
 *              it, the host does not vote until that succeeds.
 * @return 0, or a negative error with `*out` set to NULL
 */
int bbl_control_open(bbl_control **out, const bbl_control_options *options,
                     bbl_disk *disk, bbl_usec now);
void bbl_control_free(bbl_control *control);

/*
 * Advances the time; call it at least every 10 ms. `wall_ms` is the wall
 * clock time that the leader records in claims and outcomes.
 */
void bbl_control_tick(bbl_control *control, bbl_usec now, uint64_t wall_ms);

/* Processes one received message; `from` is the sending host. */
void bbl_control_step(bbl_control *control, bbl_usec now, uint32_t from,
                      const bblx_message *message);

/*
 * Proposes a command, an encoded bblx_command. The next tick sends it, and it
 * is sent again until it is answered or times out.
 *
 * @return the number under which the port reports the outcome
 */
uint64_t bbl_control_propose(bbl_control *control, bbl_usec now,
                             bbl_str command);

/*
 * Same as bbl_control_propose, for the evacuation or restoration of a data
 * centre. The leader does not record it while a later command of this kind
 * than this host has applied is in its log: the command may have been delayed
 * on its way, and would undo a newer one. This host proposes it again once it
 * has applied that command, unless it has been withdrawn.
 */
uint64_t bbl_control_propose_evacuation(bbl_control *control, bbl_usec now,
                                        bbl_str command);

/*
 * Same as bbl_control_propose_evacuation, for the order of a rollout, of which
 * the leader sets the times. It is refused with BBL_EEXISTS while a rollout of
 * the service to another version runs.
 */
uint64_t bbl_control_propose_rollout(bbl_control *control, bbl_usec now,
                                     const bblx_rollout *order);

/* Sends what this entry host has counted for rollouts to the leader. */
void bbl_control_send_rollout_counts(bbl_control *control, bbl_usec now,
                                     const bblx_rollout_counts *counts);

/*
 * Stops sending a proposal whose outcome nobody awaits any more. It may still
 * be recorded if it has reached the leader.
 */
void bbl_control_withdraw_proposal(bbl_control *control, uint64_t number);

/* Publishes this owner's report of a searcher; sets `serial` in its copy. */
void bbl_control_report(bbl_control *control, const bblx_report *report);

/*
 * Publishes the rate limit that a backend server states, unless all hosts know
 * it already.
 *
 * @param server key of the server, see bbl_backend_get_key()
 * @param rate   requests per 1000 s, UINT32_MAX for none
 */
void bbl_control_report_rate_limit(bbl_control *control, uint64_t server,
                                   uint32_t rate);

/*
 * Publishes that a server has ended while it ran a request, or has answered a
 * request of which that was known.
 *
 * @param fingerprint of the request
 * @param generation  see bbl_observed_crash
 */
void bbl_control_report_crash(bbl_control *control, uint64_t fingerprint,
                              uint32_t generation);

/*
 * Publishes what this host has observed of the health of a backend server.
 * Such reports are passed on a few times a second only, together with others.
 *
 * @param server key of the server, see bbl_backend_get_key()
 * @param health as in bblx_report.limit
 */
void bbl_control_report_health(bbl_control *control, bbl_usec now,
                               uint64_t server, uint32_t health);

/*
 * Requests permits for servers that limit their request rate from one of the
 * hosts that grant them, each time from another one. The answer may be lost.
 *
 * @param request the number, items, urgency and needed groups
 */
void bbl_control_request_permits(bbl_control *control, bbl_usec now,
                                 const bblx_permit_request *request);

/* A host that grants permits and admission. */
typedef struct {
    uint32_t host;
    bblx_address control;
    bool near; /* in the data centre of this host */
} bbl_control_grantor;

/* Fills the grantors, in an order on which all hosts agree. Returns their
 * number, 0 if none is known. */
unsigned
bbl_control_get_grantors(bbl_control_grantor out[BBL_PERMIT_GRANTORS_MAX],
                         const bbl_control *control);

/*
 * Sends a grantor a request for the admission of a query, or the report of one
 * that was admitted. It may be lost, and so may the reply.
 *
 * @param message BBLX_ADMISSION_REQUEST or BBLX_PRIORITY_REQUEST, without the
 *                address for the reply, or
 *                BBLX_ADMISSION_REPORT
 */
void bbl_control_send_admission(bbl_control *control, bbl_usec now,
                                uint32_t grantor, const bblx_message *message);

/* Returns the number of hosts that grant permits, 0 if none is known. */
unsigned bbl_control_count_grantors(const bbl_control *control);

/* Replaces the platform's list of searchers, which is copied. */
void bbl_control_set_places(bbl_control *control, const bblx_place *places,
                            size_t count);

/*
 * Replaces the list of backend servers with the one read at `now`.
 *
 * @param versions hash of the version of each server, see bbl_version_hash();
 *                 NULL if they are not known
 */
void bbl_control_replace_catalog(bbl_control *control, bbl_usec now,
                                 const bblx_backend *backends,
                                 const uint64_t *versions, size_t count);

/*
 * Returns the keys of the servers of versions that this host did not know when
 * its lease ended, borrowed until the next call. They may belong to a rollout
 * that it was not told of; none once it has a lease.
 */
const uint64_t *bbl_control_get_unproven(const bbl_control *control,
                                         size_t *count);

/* Returns the age of the list in use, UINT64_MAX if there is none. */
bbl_usec bbl_control_catalog_age(const bbl_control *control, bbl_usec now);

/* Returns whether this host leads and may answer for the newest state. */
bool bbl_control_leads(const bbl_control *control, bbl_usec now);

/* Replaces the hosts to ask for the leader; `seeds` is borrowed. */
void bbl_control_set_seeds(bbl_control *control, bblx_voters seeds);

/*
 * Sets the index up to which the traffic threads of this daemon use the
 * state. Heartbeats report it to the leader as applied.
 */
void bbl_control_confirm_applied(bbl_control *control, uint64_t applied);

/* Starts to drain this daemon: it is assigned no more searchers. */
void bbl_control_drain(bbl_control *control, bbl_usec now);

/*
 * Transfers the leadership to a voter that does not drain. To be called again
 * while this host leads.
 *
 * @return 0, BBL_ENOTLEADER if this host does not lead, or BBL_ENOTFOUND if no
 *         such voter holds the whole log, or none is known yet
 */
int bbl_control_transfer_leadership(bbl_control *control, bbl_usec now);

/*
 * Returns whether this host drains as a voter while another host can take its
 * place. The group can lose one disk less if the process ends before.
 */
bool bbl_control_awaits_successor(const bbl_control *control);

/* Reports that this daemon uses no searcher any more. */
void bbl_control_mark_released(bbl_control *control, bbl_usec now);

/*
 * Returns the time until which this daemon may accept work and use its
 * searchers, 0 if it may not.
 */
bbl_usec bbl_control_lease_until(const bbl_control *control);

bbl_readiness bbl_control_get_readiness(const bbl_control *control,
                                        bbl_usec now);
void bbl_control_get_status(const bbl_control *control, bbl_usec now,
                            bbl_control_status *out);

/* Returns a number that grows with each change of the state or the rows. */
uint64_t bbl_control_revision(const bbl_control *control);

const bbl_state *bbl_control_state(const bbl_control *control);
const bbl_rows *bbl_control_rows(const bbl_control *control);

/* Returns the quorum; NULL without a disk, or while the disk has failed. */
bbl_quorum *bbl_control_quorum(bbl_control *control);

/* Returns the member table, which is valid only on the leader. */
const bbl_registry *bbl_control_registry(const bbl_control *control);

/*
 * Returns whether every member that may hold a lease applies this version of
 * the lists or a later one.
 *
 * @param waits_for set to a host that has not applied it yet, or to 0
 * @return 1 if it is applied everywhere, 0 if not yet, BBL_ENOTLEADER on a
 * host that does not lead
 */
int bbl_control_in_force(const bbl_control *control, bbl_usec now,
                         uint64_t version, uint32_t *waits_for);

#endif
