/*
 * memory_account.h - the memory that a host holds for others: responses of
 * servers, requests of callers, and answers that callers are slow to read.
 *
 * The modules that hold it charge the bytes that they have allocated to one
 * account. If the account is over its limit, the largest of what they hold is
 * ended first, whichever module holds it.
 *
 * An account belongs to one thread.
 */
#ifndef BBL_MEMORY_ACCOUNT_H
#define BBL_MEMORY_ACCOUNT_H

#include <stddef.h>
#include <stdint.h>

typedef struct bbl_memory_account bbl_memory_account;

/* Why something was refused or ended to save memory. */
typedef enum {
    /* A response, or a request to a server that has not responded: all
     * holders together were over the limit. */
    BBL_MEMORY_HOST_LIMIT,
    BBL_MEMORY_SERVER_SHARE,    /* a response: its server was over its share */
    BBL_MEMORY_SERVER_REQUESTS, /* a server at its share gets no request */
    BBL_MEMORY_TOO_LONG,        /* a response over the maximum size */
    BBL_MEMORY_ENDLESS,         /* one of unknown length over its limit */
    BBL_MEMORY_STRAY,           /* too many bytes before the response */
    BBL_MEMORY_CALLER_REQUEST,  /* a request of a caller */
    BBL_MEMORY_CALLER_ANSWER,   /* an answer that a caller is slow to read */
    BBL_MEMORY_IDLE,            /* a connection without a request */
    BBL_MEMORY_CAUSES
} bbl_memory_cause;

/* A module that charges an account. */
typedef struct {
    /* Returns the bytes charged for the largest entity that can be ended; 0 if
     * there is none. */
    size_t (*get_largest)(void *ctx);
    /* Ends that entity and removes its charge. */
    void (*end_largest)(void *ctx);
    void *ctx;
} bbl_memory_holder;

/* Creates an account with a limit in bytes. */
bbl_memory_account *bbl_memory_account_new(size_t limit);

/* Frees an account after its holders; NULL is allowed. */
void bbl_memory_account_free(bbl_memory_account *account);

/* Adds a module; `holder` is copied. */
void bbl_memory_account_add_holder(bbl_memory_account *account,
                                   const bbl_memory_holder *holder);

/* Removes the module with this context. */
void bbl_memory_account_remove_holder(bbl_memory_account *account,
                                      const void *ctx);

/*
 * Replaces a charge. Ends nothing, so that it may be called anywhere.
 *
 * @param charged the present charge of an entity, set to `bytes`
 */
void bbl_memory_account_charge(bbl_memory_account *account, size_t *charged,
                               size_t bytes);

/* Ends the largest entities until the account is within its limit. */
void bbl_memory_account_enforce(bbl_memory_account *account);

/* Counts what was refused or ended for a cause. */
void bbl_memory_account_count(bbl_memory_account *account,
                              bbl_memory_cause cause);

/* Returns how often bbl_memory_account_count was called for a cause. */
uint64_t bbl_memory_account_get_count(const bbl_memory_account *account,
                                      bbl_memory_cause cause);

/* Returns the name of a cause in metrics and the log, a static string. */
const char *bbl_memory_cause_name(bbl_memory_cause cause);

/* Return the bytes charged, the limit, and the entities ended so far. */
size_t bbl_memory_account_get_used(const bbl_memory_account *account);
size_t bbl_memory_account_get_limit(const bbl_memory_account *account);
uint64_t bbl_memory_account_get_ended(const bbl_memory_account *account);

#endif
