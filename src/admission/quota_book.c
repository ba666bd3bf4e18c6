#include "admission/quota_book.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

/*
 * Parts of window x overrun, the time by which tokens may be late. The second
 * one leaves a host that refuses a request at its last moment the time to
 * return the token; both stay below 1 for the time of a message.
 */
#define TOKEN_TIME_SHARE 0.6
#define RETURN_TIME_SHARE 0.9
/* Least of these times: a reply from another data centre takes 6 ms. */
#define TIME_MIN_US (30 * BBL_USEC_PER_MS)
/*
 * Parts of the slack: by which the buckets of all grantors are larger, that
 * all grantors give after a restart, and that they grant in each window. The
 * second value holds for a tolerance of 1; in between they change with it.
 */
#define CAPACITY_SLACK_SHARE 0.4
#define CAPACITY_SLACK_SHARE_TOLERANT 0.2
#define RESTART_SLACK_SHARE 0.5
#define RESTART_SLACK_SHARE_TOLERANT 0.2
#define GRANTED_SLACK_SHARE_TOLERANT 0.5
/*
 * Refused requests that are expected to be retried, in the tokens of this
 * time: of a caller that sends far more than its limit, many are not, and the
 * later ones should not be told to wait for long after it has stopped.
 */
#define EXPECTED_SECONDS 0.5
/* Longest wait that is stated. With a rate of 0.1 a second the next token may
 * be 50 s away. */
#define WAIT_MAX_US (600 * BBL_USEC_PER_SEC)
/* Buckets above which those that are full are freed: a new one is the same. */
#define BUCKETS_MAX 16384

/* How long tokens are kept for urgent requests after one was refused because
 * there was none. */
#define SHORT_US (2 * BBL_USEC_PER_SEC)
/* Time over which the requests of a class are counted. */
#define DEMAND_US (2.0 * BBL_USEC_PER_SEC)
/* Tokens are kept for the urgent requests of this time. */
#define KEPT_SECONDS 0.5
/* Maximum of the kept tokens, as a part of what the bucket can hold. */
#define KEPT_SHARE 0.5
/* Requests of more urgent classes below which nothing is kept for them: one
 * that came within about 5 s. */
#define DEMAND_MIN 0.1

/* An organisation at this grantor. */
typedef struct {
    uint64_t organisation;
    bbl_share_bucket share;
    uint64_t routing; /* newest version that was seen */
    double rate;      /* of all grantors, as that version states it */
    double burst;
    bbl_usec short_until; /* see SHORT_US */
    bbl_usec counted_at;
    float demand[BBL_QUOTA_CLASSES]; /* decaying counts of requests */
    /* Tokens given to more urgent requests since the class last got one, at
     * most BBL_ORDER_LEAST_SHARE. */
    uint8_t passed_over[BBL_QUOTA_CLASSES];
} bucket;

/* A token that was given and may be returned. */
typedef struct {
    uint64_t key;
    uint64_t organisation;
    bbl_usec at;
} grant;

static bbl_usec
get_time_share(const bbl_quota_limits *l, double share)
{
    bbl_usec time = (bbl_usec)((double)l->window * l->overrun * share);

    return time > TIME_MIN_US ? time : TIME_MIN_US;
}

/* Returns a part of the slack, between its values without and with tolerance.
 */
static double
get_slack_part(const bbl_quota_limits *l, double strict, double tolerant)
{
    return l->slack * (strict + (tolerant - strict) * l->tolerance);
}

double
bbl_quota_get_granted_rate(const bbl_quota_limits *l, double rate)
{
    double seconds = (double)l->window / BBL_USEC_PER_SEC;

    return rate + get_slack_part(l, 0, GRANTED_SLACK_SHARE_TOLERANT) / seconds;
}

bbl_usec
bbl_quota_get_token_time(const bbl_quota_limits *l)
{
    return get_time_share(l, TOKEN_TIME_SHARE);
}

bbl_usec
bbl_quota_get_return_time(const bbl_quota_limits *l)
{
    return get_time_share(l, RETURN_TIME_SHARE);
}

void
bbl_quota_book_init(bbl_quota_book *book, bbl_usec now,
                    const bbl_quota_limits *limits)
{
    memset(book, 0, sizeof(*book));
    book->limits = *limits;
    book->by_age = (bbl_vec)BBL_VEC_INIT(grant *);
    book->started_at = now;
}

void
bbl_quota_book_free(bbl_quota_book *book)
{
    bucket *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&book->buckets, &pos)) != NULL) {
        free(b);
    }
    bbl_map_free(&book->buckets);
    for (size_t i = book->forgotten; i < book->by_age.size; i++) {
        free(*BBL_VEC_AT(grant *, &book->by_age, i));
    }
    bbl_vec_free(&book->by_age);
    bbl_map_free(&book->grants);
}

/* ---- tokens that may be returned ---- */

static uint64_t
get_key(uint32_t from, uint64_t number)
{
    return bbl_hash(&number, sizeof(number), from);
}

/* Forgets the tokens that are too old to be returned. */
static void
forget_grants(bbl_quota_book *book, bbl_usec now)
{
    bbl_usec time = bbl_quota_get_return_time(&book->limits);
    bbl_vec *v = &book->by_age;

    while (book->forgotten < v->size) {
        grant *g = *BBL_VEC_AT(grant *, v, book->forgotten);

        if (now <= g->at + time) {
            break;
        }
        if (bbl_map_get(&book->grants, g->key) == g) {
            bbl_map_remove(&book->grants, g->key);
        }
        free(g);
        book->forgotten++;
    }
    if (book->forgotten > v->size / 2) {
        v->size -= book->forgotten;
        memmove(v->ptr, (grant **)v->ptr + book->forgotten,
                v->size * v->item_size);
        book->forgotten = 0;
    }
}

static void
add_grant(bbl_quota_book *book, bbl_usec now, uint64_t key,
          uint64_t organisation)
{
    grant *g = bbl_calloc(1, sizeof(*g));

    *g = (grant){key, organisation, now};
    bbl_map_set(&book->grants, key, g);
    bbl_vec_push(&book->by_age, &g);
}

/* ---- buckets ---- */

/* Returns the capacity of a bucket, tokens. */
static double
get_capacity(const bbl_quota_limits *l, double burst, unsigned grantors)
{
    /*
     * An unused bucket holds more than its share of the burst: tokens are
     * whole, so the parts of one that are left in the buckets of several
     * grantors are lost, and requests do not spread evenly over the grantors.
     */
    double more = get_slack_part(l, CAPACITY_SLACK_SHARE,
                                 CAPACITY_SLACK_SHARE_TOLERANT) /
                  grantors;

    return fmax(burst * (1 + l->overrun) / grantors + more, 1);
}

/* Frees the buckets that are full, once there are too many. */
static void
prune_buckets(bbl_quota_book *book, bbl_usec now)
{
    bbl_map kept = BBL_MAP_INIT;
    bucket *b;
    size_t pos = 0;

    if (book->buckets.size < BUCKETS_MAX) {
        return;
    }
    while ((b = bbl_map_next(&book->buckets, &pos)) != NULL) {
        bbl_share_bucket_refill(&b->share, now);
        if (b->share.tokens >= b->share.capacity) {
            free(b);
        }
        else {
            bbl_map_set(&kept, b->organisation, b);
        }
    }
    bbl_map_free(&book->buckets);
    book->buckets = kept;
}

static bucket *
new_bucket(bbl_quota_book *book, bbl_usec now, unsigned grantors,
           const bblx_admission_quota *q)
{
    bucket *b = bbl_calloc(1, sizeof(*b));
    double rate =
        bbl_quota_get_granted_rate(&book->limits, q->rate) / grantors;
    double capacity = get_capacity(&book->limits, q->burst, grantors);
    double age = (double)(now - book->started_at) / BBL_USEC_PER_SEC;
    double reduced = get_slack_part(&book->limits, RESTART_SLACK_SHARE,
                                    RESTART_SLACK_SHARE_TOLERANT) /
                         grantors +
                     rate * age;

    /* The bucket has as many tokens as if it had existed from the start. */
    b->organisation = q->organisation;
    bbl_share_bucket_init(&b->share, now, now - book->started_at,
                          reduced < capacity ? UINT64_MAX : 0, capacity,
                          reduced);
    return b;
}

/* Returns the bucket of an organisation, with the tokens of this moment. */
static bucket *
get_bucket(bbl_quota_book *book, bbl_usec now, unsigned grantors,
           const bblx_admission_quota *q)
{
    bucket *b = bbl_map_get(&book->buckets, q->organisation);
    double capacity;

    if (b == NULL) {
        prune_buckets(book, now);
        b = new_bucket(book, now, grantors, q);
        bbl_map_set(&book->buckets, q->organisation, b);
    }
    else {
        bbl_share_bucket_refill(&b->share, now);
    }
    if (q->routing > b->routing || b->rate <= 0) {
        b->routing = q->routing;
        b->rate = q->rate;
        b->burst = q->burst;
    }
    capacity = get_capacity(&book->limits, b->burst, grantors);
    bbl_share_bucket_set_rate(
        &b->share,
        bbl_quota_get_granted_rate(&book->limits, b->rate) / grantors,
        capacity);
    /* A lowered limit holds at once, not from the next refill on. */
    b->share.tokens = fmin(b->share.tokens, capacity);
    return b;
}

unsigned
bbl_quota_get_class(uint32_t priority)
{
    return priority < BBL_QUOTA_CLASSES ? priority : BBL_QUOTA_CLASSES - 1;
}

static void
count_demand(bucket *b, bbl_usec now, unsigned class)
{
    float decay = expf(-(float)((double)(now - b->counted_at) / DEMAND_US));

    for (unsigned i = 0; i < BBL_QUOTA_CLASSES; i++) {
        b->demand[i] *= decay;
    }
    b->demand[class] += 1;
    b->counted_at = now;
}

/*
 * Returns how many tokens are kept from a class. A request that was refused by
 * other grantors comes here as well, so each of them sees more than its share
 * of the demand.
 */
static double
get_kept(const bucket *b, bbl_usec now, unsigned grantors, unsigned class)
{
    double urgent = 0;
    double most = fmin(KEPT_SHARE * b->share.capacity, b->share.capacity - 1);

    for (unsigned i = 0; i < class; i++) {
        urgent += b->demand[i];
    }
    if (now >= b->short_until || urgent < DEMAND_MIN ||
        b->passed_over[class] + 1 >= BBL_ORDER_LEAST_SHARE) {
        return 0;
    }
    urgent *= KEPT_SECONDS * BBL_USEC_PER_SEC / DEMAND_US / grantors;
    return fmin(fmax(urgent, 1), most);
}

/* Takes a token for a request of a class, unless it is kept for others. */
static bool
take_token(bucket *b, double kept, unsigned class)
{
    if (b->share.tokens < 1 + kept || !bbl_share_bucket_take(&b->share)) {
        return false;
    }
    b->passed_over[class] = 0;
    for (unsigned i = class + 1; i < BBL_QUOTA_CLASSES; i++) {
        b->passed_over[i] += b->passed_over[i] < BBL_ORDER_LEAST_SHARE;
    }
    return true;
}

void
bbl_quota_book_take(bbl_quota_answer *out, bbl_quota_book *book, bbl_usec now,
                    unsigned grantors, uint32_t from, uint64_t number,
                    uint32_t priority, const bblx_admission_quota *q)
{
    uint64_t key = get_key(from, number);
    unsigned class = bbl_quota_get_class(priority);
    double kept;
    bucket *b;

    *out = (bbl_quota_answer){true, 0, 0};
    forget_grants(book, now);
    if (bbl_map_get(&book->grants, key) != NULL) {
        return;
    }
    /* A host asks for no organisation without a limit. */
    if (grantors == 0 || !(q->rate > 0) || !(q->burst >= 0)) {
        *out = (bbl_quota_answer){false, WAIT_MAX_US, 0};
        return;
    }
    b = get_bucket(book, now, grantors, q);
    count_demand(b, now, class);
    kept = get_kept(b, now, grantors, class);
    out->taken = take_token(b, kept, class);
    out->left_per_1000 =
        (uint32_t)(1000 * b->share.tokens / b->share.capacity);
    if (out->taken) {
        add_grant(book, now, key, q->organisation);
        book->granted++;
        return;
    }
    if (b->share.tokens < 1) {
        b->short_until = now + SHORT_US;
    }
    out->wait_us = bbl_share_bucket_get_wait(
        &b->share, 1 + kept - b->share.tokens, WAIT_MAX_US);
    /* All grantors refuse the request, and its retry reaches one of them. */
    b->share.expected =
        fmin(b->share.expected + 1.0 / grantors,
             fmax(EXPECTED_SECONDS * b->share.rate, 1.0 / grantors));
    book->refused++;
}

void
bbl_quota_book_put_back(bbl_quota_book *book, bbl_usec now, uint32_t from,
                        uint64_t number)
{
    const grant *g;
    bucket *b;

    forget_grants(book, now);
    g = bbl_map_remove(&book->grants, get_key(from, number));
    if (g == NULL) {
        return;
    }
    b = bbl_map_get(&book->buckets, g->organisation);
    if (b != NULL) {
        bbl_share_bucket_refill(&b->share, now);
        bbl_share_bucket_put_back(&b->share);
        book->returned++;
    }
}
