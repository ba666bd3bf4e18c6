#include "net/memory_account.h"

#include <stdlib.h>

#include "util/alloc.h"
#include "util/vec.h"

struct bbl_memory_account {
    size_t limit;
    size_t used;
    uint64_t ended;
    uint64_t counts[BBL_MEMORY_CAUSES];
    bbl_vec holders; /* bbl_memory_holder */
};

bbl_memory_account *
bbl_memory_account_new(size_t limit)
{
    bbl_memory_account *a = bbl_calloc(1, sizeof(*a));

    a->limit = limit;
    a->holders = (bbl_vec)BBL_VEC_INIT(bbl_memory_holder);
    return a;
}

void
bbl_memory_account_free(bbl_memory_account *a)
{
    if (a != NULL) {
        bbl_vec_free(&a->holders);
        free(a);
    }
}

void
bbl_memory_account_add_holder(bbl_memory_account *a,
                              const bbl_memory_holder *holder)
{
    bbl_vec_push(&a->holders, holder);
}

void
bbl_memory_account_remove_holder(bbl_memory_account *a, const void *ctx)
{
    for (size_t i = a->holders.size; i > 0; i--) {
        if (BBL_VEC_AT(bbl_memory_holder, &a->holders, i - 1)->ctx == ctx) {
            bbl_vec_remove(&a->holders, i - 1);
        }
    }
}

void
bbl_memory_account_charge(bbl_memory_account *a, size_t *charged, size_t bytes)
{
    a->used = a->used - *charged + bytes;
    *charged = bytes;
}

void
bbl_memory_account_enforce(bbl_memory_account *a)
{
    while (a->used > a->limit) {
        const bbl_memory_holder *largest = NULL;
        size_t most = 0;

        for (size_t i = 0; i < a->holders.size; i++) {
            const bbl_memory_holder *h = bbl_vec_at(&a->holders, i);
            size_t bytes = h->get_largest(h->ctx);

            if (bytes > most) {
                most = bytes;
                largest = h;
            }
        }
        if (largest == NULL) {
            return;
        }
        a->ended++;
        largest->end_largest(largest->ctx);
    }
}

void
bbl_memory_account_count(bbl_memory_account *a, bbl_memory_cause cause)
{
    a->counts[cause]++;
}

uint64_t
bbl_memory_account_get_count(const bbl_memory_account *a,
                             bbl_memory_cause cause)
{
    return a->counts[cause];
}

const char *
bbl_memory_cause_name(bbl_memory_cause cause)
{
    static const char *const names[BBL_MEMORY_CAUSES] = {
        "host-limit",     "server-share",  "server-requests",
        "too-long",       "endless",       "stray",
        "caller-request", "caller-answer", "idle",
    };

    return names[cause];
}

size_t
bbl_memory_account_get_used(const bbl_memory_account *a)
{
    return a->used;
}

size_t
bbl_memory_account_get_limit(const bbl_memory_account *a)
{
    return a->limit;
}

uint64_t
bbl_memory_account_get_ended(const bbl_memory_account *a)
{
    return a->ended;
}
