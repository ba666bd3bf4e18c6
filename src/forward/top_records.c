#include "forward/top_records.h"

#include <string.h>

void
bbl_top_records_init(bbl_top_records *t, size_t most)
{
    memset(t, 0, sizeof(*t));
    t->max_records = most;
}

void
bbl_top_records_free(bbl_top_records *t)
{
    bbl_buf_free(&t->records);
}

static char *
record_at(const bbl_top_records *t, size_t i)
{
    return t->records.ptr + i * BBL_RECORD_BYTES;
}

/* Returns the place behind all records that are not smaller. */
static size_t
place_of(const bbl_top_records *t, size_t count, const char *record)
{
    size_t low = 0;
    size_t high = count;

    while (low < high) {
        size_t mid = (low + high) / 2;

        if (memcmp(record_at(t, mid), record, BBL_RECORD_BYTES) >= 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

static void
add_record(bbl_top_records *t, const char *record)
{
    size_t count = t->records.size / BBL_RECORD_BYTES;
    size_t at = place_of(t, count, record);

    if (at >= t->max_records) {
        return;
    }
    if (count < t->max_records) {
        bbl_buf_reserve(&t->records, BBL_RECORD_BYTES);
        t->records.size += BBL_RECORD_BYTES;
        count++;
    }
    memmove(record_at(t, at) + BBL_RECORD_BYTES, record_at(t, at),
            (count - 1 - at) * BBL_RECORD_BYTES);
    memcpy(record_at(t, at), record, BBL_RECORD_BYTES);
}

void
bbl_top_records_add(bbl_top_records *t, bbl_str part)
{
    for (size_t i = 0; i + BBL_RECORD_BYTES <= part.size;
         i += BBL_RECORD_BYTES) {
        add_record(t, part.ptr + i);
    }
}

bbl_str
bbl_top_records_get(const bbl_top_records *t)
{
    return bbl_buf_str(&t->records);
}
