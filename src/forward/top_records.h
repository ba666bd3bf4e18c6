/*
 * top_records.h - selects the greatest records of several parts. A record is
 * 16 bytes long and is compared byte by byte; duplicates are kept.
 */
#ifndef BBL_TOP_RECORDS_H
#define BBL_TOP_RECORDS_H

#include "util/buf.h"

#define BBL_RECORD_BYTES 16

typedef struct {
    size_t max_records; /* number of records to keep */
    bbl_buf records;    /* in descending order */
} bbl_top_records;

void bbl_top_records_init(bbl_top_records *top, size_t max_records);
void bbl_top_records_free(bbl_top_records *top);

/* Adds the records of one part; an incomplete record at its end is ignored. */
void bbl_top_records_add(bbl_top_records *top, bbl_str part);

/* Returns the kept records in descending order. Valid until the next add. */
bbl_str bbl_top_records_get(const bbl_top_records *top);

#endif
