/*
 * loop.h - an event loop on epoll. Each thread has a loop of its own; only
 * bbl_loop_wake may be called from other threads.
 */
#ifndef BBL_LOOP_H
#define BBL_LOOP_H

#include <stdint.h>

#include "bbl/types.h"

typedef struct bbl_loop bbl_loop;

/* Called with the epoll events that are ready on a file descriptor. */
typedef void (*bbl_loop_ready_cb)(void *ctx, int fd, uint32_t events);

/* Creates a loop; returns 0 or BBL_EIO. */
int bbl_loop_open(bbl_loop **out);

/* Frees the loop; the watched file descriptors stay open. */
void bbl_loop_free(bbl_loop *loop);

/*
 * Watches `fd`, or replaces the events and the callback if it is watched
 * already.
 *
 * @param events epoll events, such as EPOLLIN
 * @return 0 or BBL_EIO
 */
int bbl_loop_watch(bbl_loop *loop, int fd, uint32_t events,
                   bbl_loop_ready_cb ready, void *ctx);

/* Stops watching `fd`; must be called before `fd` is closed. */
void bbl_loop_unwatch(bbl_loop *loop, int fd);

/*
 * Waits up to `timeout` for events and calls the callbacks of the file
 * descriptors that are ready.
 */
void bbl_loop_run_once(bbl_loop *loop, bbl_usec timeout);

/*
 * Returns the earliest time at which the events that are being handled can
 * have become ready: the time of the poll that returned them if it had to wait
 * for them, otherwise that of the poll before, or the start of the wait if the
 * thread was not scheduled when the wait ended.
 */
bbl_usec bbl_loop_get_ready_since(const bbl_loop *loop);

/* Returns the `timeout` of the present or else the last bbl_loop_run_once. */
bbl_usec bbl_loop_get_timeout(const bbl_loop *loop);

/* Returns the time of the poll that returned the events being handled. */
bbl_usec bbl_loop_get_polled_at(const bbl_loop *loop);

/* Ends the current or else the next wait; any thread may call it. */
void bbl_loop_wake(bbl_loop *loop);

#endif
