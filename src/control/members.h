/*
 * members.h - the list of the voters and learners of the control group.
 */
#ifndef BBL_MEMBERS_H
#define BBL_MEMBERS_H

#include "bbl/types.h"
#include "model/codec.h"

/* Replaces `to` by a copy of `from`. The caller frees its list_val. */
void bbl_members_copy(bblx_voters *to, const bblx_voters *from);

/*
 * Replaces `out` by the list of a membership command.
 *
 * @return false, and `out` as before, if `data` is another command
 */
bool bbl_members_decode(bblx_voters *out, bbl_str data);

/* Returns the entry of a host, borrowed, or NULL if it is no member. */
bblx_voter *bbl_members_find(const bblx_voters *members, uint32_t host);

/* Returns whether a host is a member that votes. */
bool bbl_members_has_voter(const bblx_voters *members, uint32_t host);

size_t bbl_members_count_voters(const bblx_voters *members);

/* Removes `member`, an entry of the list. */
void bbl_members_remove(bblx_voters *members, bblx_voter *member);

#endif
