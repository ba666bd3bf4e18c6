/*
 * odd_entries.h - entries that another writer may leave in the platform's list
 * of servers. They name no server to use.
 */
#ifndef BBL_TOOLS_ODD_ENTRIES_H
#define BBL_TOOLS_ODD_ENTRIES_H

#include "util/buf.h"

/*
 * Appends all kinds of odd entries to a list, each after a comma.
 *
 * @param id id of a server that some of them name as well
 */
void odd_entries_append(bbl_buf *out, const char *id);

#endif
