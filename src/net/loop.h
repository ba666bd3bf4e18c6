/*
 * loop.h - a small epoll loop. Each thread has its own; only bbl_loop_wake
 * may be called from another thread.
 */
#ifndef BBL_LOOP_H
#define BBL_LOOP_H

#include <stdint.h>

#include "bbl/types.h"

typedef struct bbl_loop bbl_loop;

/* Called with the epoll events that are ready on a file descriptor. */
typedef void (*bbl_loop_ready_cb)(void *ctx, int fd, uint32_t events);

int bbl_loop_open(bbl_loop **out);
void bbl_loop_free(bbl_loop *loop);

/* Adds or changes what is watched on `fd`. */
int bbl_loop_watch(bbl_loop *loop, int fd, uint32_t events,
                   bbl_loop_ready_cb ready, void *ctx);

/* Stops watching `fd`; call before closing it. */
void bbl_loop_unwatch(bbl_loop *loop, int fd);

/* Waits up to `timeout` and calls what is ready. */
void bbl_loop_run_once(bbl_loop *loop, bbl_usec timeout);

/* Ends the present or next wait early; any thread may call it. */
void bbl_loop_wake(bbl_loop *loop);

#endif
