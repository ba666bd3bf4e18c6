/*
 * exchange.h - one order of an operator.
 */
#ifndef REVIEW_EXCHANGE_H
#define REVIEW_EXCHANGE_H

#include <stddef.h>

typedef struct {
    const char *method;
    const char *address;
    const char *path;
    const char *body;
    size_t body_size;
    int timeout_ms; /* for all redirects together */
} order;

/*
 * Sends an order and follows redirects. A connection that brings no answer in
 * time is reset.
 *
 * @param answered_by set to the address that answered last
 * @return the status of the answer, 0 if there is none
 */
int exchange(char *answered_by, size_t size, const order *o);

#endif
