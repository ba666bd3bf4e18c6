#include "control/permit_book.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "admission/share_bucket.h"
#include "util/alloc.h"

/* Share of the server's rate; the rest is for hosts not told of it yet. */
#define GRANTED_SHARE 0.95
/*
 * Lowest rate of permits for a server, requests per second: only its responses
 * tell that it accepts more again.
 */
#define RATE_MIN 0.25
/* Tokens of an unused bucket: one, and what it earns in this time. */
#define BURST_SECONDS 0.8
/*
 * Share of the rate for less urgent requests while urgent ones would use all
 * of it.
 */
#define LESS_URGENT_SHARE 0.25
/* How long after its refusal a less urgent request still counts as waiting. */
#define LESS_URGENT_WAITS_US (2 * BBL_USEC_PER_SEC)
/* Averaging time of the rate of urgent requests. */
#define URGENT_RATE_SECONDS 2.0
/*
 * A book of this age gives the first permit for a server at once; a younger
 * one may have been restarted, and its predecessor may just have given one.
 */
#define NEW_BOOK_US (6 * BBL_USEC_PER_SEC)
/* Longest time to which a refused caller is told to wait. */
#define WAIT_MAX_US (10 * BBL_USEC_PER_SEC)
#define BUCKETS_MAX 16384
#define IDLE_BUCKET_US (60 * BBL_USEC_PER_SEC)

/* The state of one server at this grantor. */
typedef struct {
    uint64_t server;
    bbl_share_bucket share;
    double less_urgent_tokens;
    /* Of the next token; at 1 it is for a less urgent request only. */
    double reserved;
    bbl_usec less_urgent_refused_at;
    double urgent_rate; /* urgent requests per second, decaying mean */
} bucket;

void
bbl_permit_book_init(bbl_permit_book *book, bbl_usec now)
{
    memset(book, 0, sizeof(*book));
    book->started_at = now;
}

void
bbl_permit_book_free(bbl_permit_book *book)
{
    bucket *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&book->buckets, &pos)) != NULL) {
        free(b);
    }
    bbl_map_free(&book->buckets);
}

double
bbl_permit_rate(double rate)
{
    return fmax(GRANTED_SHARE * rate, RATE_MIN);
}

/* Removes the buckets that were not used lately once there are too many. */
static void
prune_buckets(bbl_permit_book *book, bbl_usec now)
{
    bbl_map kept = BBL_MAP_INIT;
    bucket *b;
    size_t pos = 0;

    if (book->buckets.size < BUCKETS_MAX) {
        return;
    }
    while ((b = bbl_map_next(&book->buckets, &pos)) != NULL) {
        if (b->share.filled_at + IDLE_BUCKET_US < now) {
            free(b);
        }
        else {
            bbl_map_set(&kept, b->server, b);
        }
    }
    bbl_map_free(&book->buckets);
    book->buckets = kept;
}

static void
refill(bucket *b, bbl_usec now)
{
    double seconds = bbl_share_bucket_refill(&b->share, now);
    double rate = b->share.rate;
    double urgent_share =
        rate > 0 ? fmin(b->urgent_rate / rate, 1 - LESS_URGENT_SHARE) : 1;

    b->less_urgent_tokens =
        fmin(b->less_urgent_tokens + rate * (1 - urgent_share) * seconds,
             b->share.capacity);
    b->reserved =
        now < b->less_urgent_refused_at + LESS_URGENT_WAITS_US
            ? fmin(b->reserved + LESS_URGENT_SHARE * rate * seconds, 1)
            : 0;
    b->urgent_rate *= exp(-seconds / URGENT_RATE_SECONDS);
}

/* Returns the bucket of a server, with the tokens of this moment. */
static bucket *
get_bucket(bbl_permit_book *book, bbl_usec now, unsigned grantors,
           const bblx_permit_item *item)
{
    bucket *b = bbl_map_get(&book->buckets, item->server);
    double rate = bbl_permit_rate(item->rate / 1000.0) / grantors;

    if (b == NULL) {
        prune_buckets(book, now);
        b = bbl_calloc(1, sizeof(*b));
        b->server = item->server;
        bbl_share_bucket_init(&b->share, now, now - book->started_at,
                              NEW_BOOK_US, 1, 0);
        b->less_urgent_tokens = b->share.tokens;
        bbl_map_set(&book->buckets, item->server, b);
    }
    refill(b, now);
    bbl_share_bucket_set_rate(&b->share, rate, 1 + BURST_SECONDS * rate);
    return b;
}

static bool
has_permit(const bucket *b, bool urgent)
{
    return b->share.tokens >= 1 &&
           (urgent ? b->reserved < 1
                   : b->reserved >= 1 || b->less_urgent_tokens >= 1);
}

/*
 * Returns the time until a bucket has a permit that no earlier refused request
 * comes back for, microseconds; at least 1.
 */
static uint32_t
get_wait(const bucket *b, bool urgent)
{
    double missing = fmax(1 - b->share.tokens, 0);

    if (!urgent) {
        missing = fmax(missing, fmin(1 - b->less_urgent_tokens,
                                     (1 - b->reserved) / LESS_URGENT_SHARE));
    }
    else if (b->reserved >= 1) {
        missing += 1; /* the next token is for a less urgent request */
    }
    return bbl_share_bucket_get_wait(&b->share, missing, WAIT_MAX_US);
}

/* Returns the number of items in the group that begins at `first`. */
static u_int
count_group(const bblx_permit_request *r, u_int first)
{
    u_int n = 1;

    while (first + n < r->items.items_len &&
           r->items.items_val[first + n].group ==
               r->items.items_val[first].group) {
        n++;
    }
    return n;
}

/*
 * Chooses one item of each group that has a permit, and marks it as granted.
 * Returns the number of groups that have one.
 */
static unsigned
choose_items(bblx_permit_result *out, bbl_permit_book *book, bbl_usec now,
             unsigned grantors, const bblx_permit_request *r)
{
    unsigned groups = 0;
    bool done = false;

    for (u_int i = 0; i < r->items.items_len; i++) {
        const bblx_permit_item *item = &r->items.items_val[i];
        bucket *b = get_bucket(book, now, grantors, item);

        if (i == 0 || item->group != r->items.items_val[i - 1].group) {
            done = false;
        }
        if (r->urgent) {
            b->urgent_rate += 1 / URGENT_RATE_SECONDS;
        }
        out[i].server = item->server;
        out[i].granted = !done && has_permit(b, r->urgent);
        out[i].wait_us = has_permit(b, r->urgent) ? 0 : get_wait(b, r->urgent);
        groups += out[i].granted;
        done = done || out[i].granted;
    }
    return groups;
}

void
bbl_permit_book_grant(bblx_permit_result *out, bbl_permit_book *book,
                      bbl_usec now, unsigned grantors,
                      const bblx_permit_request *r)
{
    unsigned groups = choose_items(out, book, now, grantors, r);
    u_int group_size = 0;
    u_int group_end = 0;

    for (u_int i = 0; i < r->items.items_len; i++) {
        bucket *b = bbl_map_get(&book->buckets, out[i].server);

        if (i == group_end) {
            group_size = count_group(r, i);
            group_end += group_size;
        }
        if (groups < r->needed) {
            out[i].granted = FALSE;
        }
        /* An earlier item may have taken the token. */
        out[i].granted = out[i].granted && bbl_share_bucket_take(&b->share);
        if (out[i].granted) {
            if (!r->urgent) {
                b->less_urgent_tokens = fmax(b->less_urgent_tokens - 1, 0);
                b->reserved = fmax(b->reserved - 1, 0);
            }
        }
        if (out[i].wait_us > 0 && !r->urgent) {
            b->less_urgent_refused_at = now;
        }
        if (out[i].wait_us > 0) {
            /* The request is repeated at other grantors and servers. */
            b->share.expected += 1.0 / BBL_PERMIT_ASKED_MAX / group_size;
        }
        book->granted += out[i].granted;
        book->refused += !out[i].granted;
    }
}
