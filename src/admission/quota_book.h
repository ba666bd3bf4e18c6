/*
 * quota_book.h - the shares of one grantor in the quotas of organisations. An
 * organisation may send a rate of requests per second and a burst, over all
 * hosts together; each grantor owns an equal part of both. The book makes no
 * system call; time and requests are arguments.
 *
 * In any window W at most (rate x W + burst) x (1 + overrun) + slack requests
 * of an organisation run, whatever is lost, late, doubled, restarted or cut
 * off. With n grantors this is made up of:
 *
 * - rate x W, and n x capacity = burst x (1 + overrun) + 0.4 x slack, or n if
 *   that is more: what the buckets earn and hold;
 * - rate x bbl_quota_get_return_time(): tokens that were taken before the
 *   window and are used or returned in it, less than rate x W x overrun;
 * - n x slack / (2 x n): one restart of each grantor.
 *
 * While an organisation is short of tokens, the more urgent of its requests go
 * first: a few tokens are kept for them, by how many of them came lately. The
 * others get at least one token in BBL_ORDER_LEAST_SHARE. No token that is
 * kept keeps the bucket from earning.
 *
 * With a tolerance of 1 the slack is divided otherwise: 0.5 of it is granted
 * in each window as a higher rate, 0.2 is in the capacity, 0.2 is for restarts
 * and 0.09 for tokens of the higher rate that were taken before the window.
 */
#ifndef BBL_QUOTA_BOOK_H
#define BBL_QUOTA_BOOK_H

#include "admission/order.h"
#include "admission/share_bucket.h"
#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

typedef struct {
    bbl_usec window;
    double overrun; /* share of the limit; 0.1 or so */
    double slack;   /* requests */
    /* Part of the slack that is granted in each window, 0 to 1: see
     * bbl_quota_get_granted_rate(). */
    double tolerance;
} bbl_quota_limits;

#define BBL_QUOTA_LIMITS_INIT                                                 \
    {                                                                         \
        5 * BBL_USEC_PER_SEC, 0.1, 20, 0                                      \
    }

/* Priorities told apart; higher numbers count as the last of them. */
#define BBL_QUOTA_CLASSES 4

typedef struct {
    bbl_quota_limits limits;
    bbl_map buckets;  /* hash of the organisation -> bucket, private */
    bbl_map grants;   /* host and number -> grant, private */
    bbl_vec by_age;   /* grant *, oldest first; the first ones are forgotten */
    size_t forgotten; /* grants at the beginning of by_age */
    bbl_usec started_at;
    uint64_t granted;
    uint64_t refused;
    uint64_t returned;
} bbl_quota_book;

/*
 * Returns the rate that all grantors give together, for a limit of `rate`. It
 * is higher if the limits have a tolerance: callers whose operator tolerates
 * some requests over the limit in each window are then not refused these.
 */
double bbl_quota_get_granted_rate(const bbl_quota_limits *limits, double rate);

/* Returns how long after its request a token may be used by a host. */
bbl_usec bbl_quota_get_token_time(const bbl_quota_limits *limits);

/* Returns how long after it was given a grantor takes a token back. */
bbl_usec bbl_quota_get_return_time(const bbl_quota_limits *limits);

/* Returns the class of a priority number, 0 to BBL_QUOTA_CLASSES - 1. */
unsigned bbl_quota_get_class(uint32_t priority);

void bbl_quota_book_init(bbl_quota_book *book, bbl_usec now,
                         const bbl_quota_limits *limits);
void bbl_quota_book_free(bbl_quota_book *book);

/* The answer of a grantor. */
typedef struct {
    bool taken;
    uint32_t wait_us; /* until there is a token, if refused */
    /* Tokens left, in thousandths of what an unused bucket holds. */
    uint32_t left_per_1000;
} bbl_quota_answer;

/*
 * Takes a token for a request. The same request again, which was doubled on
 * its way, gets the same answer and takes no second token.
 *
 * @param grantors number of grantors, this one included
 * @param from     host that sent the request
 * @param number   of the request
 * @param priority of the request; 0 is the most urgent
 */
void bbl_quota_book_take(bbl_quota_answer *out, bbl_quota_book *book,
                         bbl_usec now, unsigned grantors, uint32_t from,
                         uint64_t number, uint32_t priority,
                         const bblx_admission_quota *quota);

/*
 * Puts the token of a request back that has not run and will not. Does nothing
 * if it was put back before, is too old or was given by an earlier process.
 */
void bbl_quota_book_put_back(bbl_quota_book *book, bbl_usec now, uint32_t from,
                             uint64_t number);

#endif
