/*
 * state.h - the replicated state machine: the lists of plans and allowances
 * and their version, the assignment of searchers to owners, the claims of
 * requests that must not run twice, the voters, the routing document, the
 * evacuated data centres and the rollouts.
 *
 * It is deterministic: the same commands give the same state on every host.
 */
#ifndef BBL_STATE_H
#define BBL_STATE_H

#include "bbl/lists.h"
#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

/* Newest change ids kept, by which a resent change is recognised. */
#define BBL_CHANGE_IDS_MAX 4096
/* Data centres evacuated at the same time. */
#define BBL_EVACUATED_MAX 64
/* Rollouts recorded at the same time; one that has ended gives way. */
#define BBL_ROLLOUTS_MAX 256
/* The same order again does not start a rollout anew so soon after its end. */
#define BBL_ROLLOUT_REPEAT_MS 10000
#define BBL_CLAIMS_MAX 1000000
#define BBL_CLAIM_RETENTION_MS (24ull * 3600 * 1000)
/* A longer answer is not recorded; its claim is only marked as done. */
#define BBL_CLAIM_ANSWER_MAX_BYTES 65536

/* Result of applying one command. */
typedef struct {
    int status; /* 0 or a negative error number */
    /* Lists version after the command, or the version of the routing document
     * after a routing command. */
    uint64_t version;
    bool fresh;     /* the claim is new, or a resend of the same attempt */
    bool done;      /* the claimed request has completed */
    bbl_str answer; /* its recorded answer, borrowed until the next command */
} bbl_state_result;

typedef struct bbl_state bbl_state;

bbl_state *bbl_state_new(void);
void bbl_state_free(bbl_state *state);

/*
 * Applies one encoded command. A command that does not decode changes only the
 * applied index and gives the status BBL_EDAMAGED.
 */
void bbl_state_apply(bbl_state *state, uint64_t index, bbl_str data,
                     bbl_state_result *result);

/*
 * Writes a snapshot of the state. With `claims` false the claims and the
 * change ids are left out.
 *
 * @return the number of bytes appended before the rollouts. Builds that know
 *         no rollouts can load so much of it, and nothing longer.
 */
size_t bbl_state_save(const bbl_state *state, bool claims, bbl_buf *out);

/*
 * Replaces the state by a snapshot.
 *
 * @return 0, or BBL_EDAMAGED with the state unchanged
 */
int bbl_state_load(bbl_state *state, bbl_str data);

/* Returns the index of the last applied command. */
uint64_t bbl_state_applied_index(const bbl_state *state);

/*
 * Raises the applied index to `index`, past entries that the change feed does
 * not carry.
 */
void bbl_state_advance_applied(bbl_state *state, uint64_t index);

/* Returns the lists version, 0 before the first change. */
uint64_t bbl_state_lists_version(const bbl_state *state);

/*
 * Returns the parsed lists, or NULL before the first change. Valid until the
 * next change.
 */
const bbl_lists *bbl_state_lists(const bbl_state *state);

/* Returns the source texts of the lists, borrowed until the next change. */
void bbl_state_get_list_texts(const bbl_state *state, bbl_str *plans,
                              bbl_str *allowances);

/* Iterates over the assignments as bbl_map_next does. */
const bblx_assign *bbl_state_next_assignment(const bbl_state *state,
                                             size_t *pos);

/* Returns the assignment of a searcher, or NULL. */
const bblx_assign *bbl_state_find_assignment(const bbl_state *state,
                                             uint32_t searcher);

/* Returns the voters of the last committed change. */
const bblx_voters *bbl_state_voters(const bbl_state *state);

/*
 * Returns the routing document in effect, deflated and valid until the next
 * command. Its number is 0 before the first document.
 */
const bblx_routing *bbl_state_routing(const bbl_state *state);

/* Returns the `i`-th evacuated data centre, or NULL past the last. */
const bblx_name *bbl_state_evacuated_zone(const bbl_state *state, size_t i);

/* Returns the `i`-th rollout, or NULL past the last. */
const bblx_rollout *bbl_state_rollout(const bbl_state *state, size_t i);

/* Returns the rollout of a service that was ordered last, or NULL. */
const bblx_rollout *bbl_state_find_rollout(const bbl_state *state,
                                           bbl_str service);

/* Returns the number of claims kept. */
size_t bbl_state_claim_count(const bbl_state *state);

/* Returns whether a command evacuates or restores a data centre. */
bool bbl_state_is_evacuation(bbl_str data);

/* Returns whether a command orders a rollout or is a step of one. */
bool bbl_state_is_rollout(bbl_str data);

/*
 * Returns whether the change feed carries a command to the hosts that do not
 * vote.
 */
bool bbl_state_is_feed_command(bbl_str data);

#endif
