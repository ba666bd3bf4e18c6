/*
 * top_records.h - the greatest records of several parts. A record is 16
 * bytes, compared byte by byte; equal records all count.
 */
#ifndef BBL_TOP_RECORDS_H
#define BBL_TOP_RECORDS_H

#include "util/buf.h"

#define BBL_RECORD_BYTES 16

typedef struct {
    size_t max_records; /* records to keep */
    bbl_buf records;    /* falling */
} bbl_top_records;

void bbl_top_records_init(bbl_top_records *top, size_t most);
void bbl_top_records_free(bbl_top_records *top);

/* Takes in the records of one part; a shorter rest is no record. */
void bbl_top_records_add(bbl_top_records *top, bbl_str part);

/* Returns the kept records, greatest first. */
bbl_str bbl_top_records_get(const bbl_top_records *top);

#endif
