#include "admission/share_bucket.h"

#include <math.h>
#include <string.h>

void
bbl_share_bucket_init(bbl_share_bucket *b, bbl_usec now, bbl_usec age,
                      bbl_usec young, double tokens, double reduced)
{
    memset(b, 0, sizeof(*b));
    b->tokens = age >= young ? tokens : reduced;
    b->capacity = b->tokens;
    b->filled_at = now;
}

double
bbl_share_bucket_refill(bbl_share_bucket *b, bbl_usec now)
{
    double seconds = (double)(now - b->filled_at) / BBL_USEC_PER_SEC;

    b->tokens = fmin(b->tokens + b->rate * seconds, b->capacity);
    b->expected = fmax(b->expected - b->rate * seconds, 0);
    b->filled_at = now;
    return seconds;
}

void
bbl_share_bucket_set_rate(bbl_share_bucket *b, double rate, double capacity)
{
    b->rate = rate;
    b->capacity = capacity;
}

bool
bbl_share_bucket_take(bbl_share_bucket *b)
{
    if (b->tokens < 1) {
        return false;
    }
    b->tokens -= 1;
    return true;
}

void
bbl_share_bucket_put_back(bbl_share_bucket *b)
{
    b->tokens = fmin(b->tokens + 1, b->capacity);
}

uint32_t
bbl_share_bucket_get_wait(const bbl_share_bucket *b, double missing,
                          uint32_t max)
{
    double seconds = (missing + b->expected) / b->rate;

    return 1 + (uint32_t)fmin(seconds * BBL_USEC_PER_SEC, max);
}
