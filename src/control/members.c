#include "control/members.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

void
bbl_members_copy(bblx_voters *to, const bblx_voters *from)
{
    size_t n = from->list.list_len;

    free(to->list.list_val);
    to->list.list_val = bbl_calloc(n, sizeof(bblx_voter));
    to->list.list_len = (u_int)n;
    if (n > 0) {
        memcpy(to->list.list_val, from->list.list_val, n * sizeof(bblx_voter));
    }
}

bool
bbl_members_decode(bblx_voters *out, bbl_str data)
{
    bblx_command command;

    memset(&command, 0, sizeof(command));
    if (data.size < 4 || data.ptr[3] != BBLX_VOTERS ||
        BBL_XDR_DECODE(&command, bblx_command, data) != 0) {
        return false;
    }
    bbl_members_copy(out, &command.bblx_command_u.voters);
    BBL_XDR_FREE(bblx_command, &command);
    return true;
}

bblx_voter *
bbl_members_find(const bblx_voters *members, uint32_t host)
{
    for (u_int i = 0; i < members->list.list_len; i++) {
        if (members->list.list_val[i].host == host) {
            return &members->list.list_val[i];
        }
    }
    return NULL;
}

bool
bbl_members_has_voter(const bblx_voters *members, uint32_t host)
{
    const bblx_voter *v = bbl_members_find(members, host);

    return v != NULL && v->role == BBLX_VOTER;
}

size_t
bbl_members_count_voters(const bblx_voters *members)
{
    size_t n = 0;

    for (u_int i = 0; i < members->list.list_len; i++) {
        n += members->list.list_val[i].role == BBLX_VOTER;
    }
    return n;
}

void
bbl_members_remove(bblx_voters *members, bblx_voter *member)
{
    *member = members->list.list_val[members->list.list_len - 1];
    members->list.list_len--;
}
