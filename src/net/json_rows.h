/*
 * json_rows.h - splits a JSON document into its parts without decoding them.
 *
 * A decoder refuses a whole document for one value that it cannot decode, such
 * as a number that is too large, text that is not UTF-8 or deep nesting. The
 * rows of a list that several writers maintain are therefore split first, and
 * each row is decoded by itself. Only the structure is checked: strings and
 * the balance of brackets.
 */
#ifndef BBL_JSON_ROWS_H
#define BBL_JSON_ROWS_H

#include <stdbool.h>

#include "bbl/types.h"

typedef struct {
    bbl_str text;  /* of the array; borrowed */
    size_t at;     /* private */
    bool complete; /* the end of the array was reached */
} bbl_json_rows;

/*
 * Finds a member of an object; of several with this name, the last one.
 *
 * @param out    set to the text of its value, which borrows `object`; empty
 *               if there is no such member
 * @param object text of the object; nothing but white space may follow it
 * @return 0, or BBL_EDAMAGED if `object` is not an object
 */
int bbl_json_find_member(bbl_str *out, bbl_str object, const char *name);

/* Starts with the first element of an array; returns 0 or BBL_EDAMAGED. */
int bbl_json_rows_open(bbl_json_rows *rows, bbl_str array);

/*
 * Sets `row` to the text of the next element. Returns false after the last
 * one, with `complete` set, or if the array is damaged.
 */
bool bbl_json_rows_next(bbl_json_rows *rows, bbl_str *row);

#endif
