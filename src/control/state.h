/*
 * state.h - the replicated state machine: the lists and their version, the
 * owners of searchers, and the claims of requests that may not be repeated.
 * Deterministic: the same commands give the same state everywhere.
 */
#ifndef BBL_STATE_H
#define BBL_STATE_H

#include "bbl/lists.h"
#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

#define BBL_CHANGE_IDS_MAX 4096 /* change ids remembered */
#define BBL_EVACUATED_MAX 64    /* data centres out of service at once */
#define BBL_CLAIMS_MAX 1000000  /* claims remembered */
#define BBL_CLAIM_RETENTION_MS (24ull * 3600 * 1000)
#define BBL_CLAIM_ANSWER_MAX_BYTES 65536 /* bytes of a recorded outcome */

/* Outcome of applying one command. */
typedef struct {
    int status;       /* 0 or a negative error number */
    uint64_t version; /* lists version after the command */
    bool fresh;       /* a claim that was not there before */
    bool done;        /* a claim whose outcome is recorded */
    bbl_str answer;   /* that outcome, borrowed until the next command */
} bbl_state_result;

typedef struct bbl_state bbl_state;

bbl_state *bbl_state_new(void);
void bbl_state_free(bbl_state *state);

/* Applies one encoded command. A command that does not decode is a no-op. */
void bbl_state_apply(bbl_state *state, uint64_t index, bbl_str data,
                     bbl_state_result *result);

/* Writes the state; `claims` false leaves the claims out. */
void bbl_state_save(const bbl_state *state, bool claims, bbl_buf *out);

/* Replaces the state; returns 0 or BBL_EDAMAGED, the state then unchanged. */
int bbl_state_load(bbl_state *state, bbl_str data);

/* Returns the last index applied. */
uint64_t bbl_state_applied_index(const bbl_state *state);

/* Sets the last index applied, for entries that carry nothing for members. */
void bbl_state_advance_applied(bbl_state *state, uint64_t index);

/* Returns the lists version, 0 before the first change. */
uint64_t bbl_state_lists_version(const bbl_state *state);

/* Returns the parsed lists, replaced by the next change; NULL before it. */
const bbl_lists *bbl_state_lists(const bbl_state *state);

/* Returns the texts of the lists. */
void bbl_state_get_list_texts(const bbl_state *state, bbl_str *plans,
                              bbl_str *allowances);

/* Steps through the assignments as bbl_map_next does. */
const bblx_assign *bbl_state_next_assignment(const bbl_state *state,
                                             size_t *pos);

/* Returns the assignment of a searcher, or NULL. */
const bblx_assign *bbl_state_find_assignment(const bbl_state *state,
                                             uint32_t searcher);

/* Returns the voters last committed. */
const bblx_voters *bbl_state_voters(const bbl_state *state);

/*
 * Returns the routing document in force, deflated, valid until the next
 * command; its number is 0 before the first.
 */
const bblx_routing *bbl_state_routing(const bbl_state *state);

/* Returns evacuated data centre `i`, or NULL past the last. */
const bblx_name *bbl_state_evacuated_zone(const bbl_state *state, size_t i);

/* Returns how many claims are remembered. */
size_t bbl_state_claim_count(const bbl_state *state);

/* Returns whether a command matters to hosts that do not vote. */
bool bbl_state_is_feed_command(bbl_str data);

#endif
