#include "net/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/map.h"

#define EVENTS_AT_ONCE 256

typedef struct {
    int fd;
    uint64_t serial; /* tells a reused descriptor from the old one */
    bbl_loop_ready_cb ready;
    void *ctx;
} watch;

struct bbl_loop {
    int epoll;
    int event;
    uint64_t serial;
    bbl_map watches; /* fd + 1 -> watch */
};

static uint64_t
tag_of(const watch *w)
{
    return (w->serial << 32) | (uint32_t)w->fd;
}

int
bbl_loop_open(bbl_loop **out)
{
    bbl_loop *loop = bbl_calloc(1, sizeof(*loop));
    struct epoll_event ev = {.events = EPOLLIN, .data.u64 = UINT64_MAX};

    *out = NULL;
    loop->epoll = epoll_create1(EPOLL_CLOEXEC);
    loop->event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (loop->epoll < 0 || loop->event < 0 ||
        epoll_ctl(loop->epoll, EPOLL_CTL_ADD, loop->event, &ev) != 0) {
        bbl_error_set(BBL_EIO, "epoll: %s", strerror(errno));
        bbl_loop_free(loop);
        return BBL_EIO;
    }
    *out = loop;
    return 0;
}

void
bbl_loop_free(bbl_loop *loop)
{
    watch *w;
    size_t pos = 0;

    if (loop == NULL) {
        return;
    }
    while ((w = bbl_map_next(&loop->watches, &pos)) != NULL) {
        free(w);
    }
    bbl_map_free(&loop->watches);
    if (loop->event >= 0) {
        close(loop->event);
    }
    if (loop->epoll >= 0) {
        close(loop->epoll);
    }
    free(loop);
}

int
bbl_loop_watch(bbl_loop *loop, int fd, uint32_t events,
               bbl_loop_ready_cb ready, void *ctx)
{
    watch *w = bbl_map_get(&loop->watches, (uint64_t)fd + 1);
    struct epoll_event ev = {.events = events};
    int op = EPOLL_CTL_MOD;

    if (w == NULL) {
        w = bbl_calloc(1, sizeof(*w));
        w->fd = fd;
        w->serial = ++loop->serial & 0x7fffffff;
        bbl_map_set(&loop->watches, (uint64_t)fd + 1, w);
        op = EPOLL_CTL_ADD;
    }
    w->ready = ready;
    w->ctx = ctx;
    ev.data.u64 = tag_of(w);
    if (epoll_ctl(loop->epoll, op, fd, &ev) != 0) {
        return bbl_error_set(BBL_EIO, "epoll_ctl: %s", strerror(errno));
    }
    return 0;
}

void
bbl_loop_unwatch(bbl_loop *loop, int fd)
{
    watch *w = bbl_map_remove(&loop->watches, (uint64_t)fd + 1);

    if (w != NULL) {
        epoll_ctl(loop->epoll, EPOLL_CTL_DEL, fd, NULL);
        free(w);
    }
}

static void
clear_event(bbl_loop *loop)
{
    uint64_t count;

    if (read(loop->event, &count, sizeof(count)) < 0) {
        return; /* already cleared */
    }
}

void
bbl_loop_run_once(bbl_loop *loop, bbl_usec timeout)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    struct timespec ts = {(time_t)(timeout / BBL_USEC_PER_SEC),
                          (long)(timeout % BBL_USEC_PER_SEC) * 1000};
    int n = epoll_pwait2(loop->epoll, events, EVENTS_AT_ONCE, &ts, NULL);

    for (int i = 0; i < n; i++) {
        uint64_t tag = events[i].data.u64;
        watch *w;

        if (tag == UINT64_MAX) {
            clear_event(loop);
            continue;
        }
        w = bbl_map_get(&loop->watches, (tag & UINT32_MAX) + 1);
        if (w != NULL && tag_of(w) == tag) {
            w->ready(w->ctx, w->fd, events[i].events);
        }
    }
}

void
bbl_loop_wake(bbl_loop *loop)
{
    uint64_t one = 1;

    if (write(loop->event, &one, sizeof(one)) < 0) {
        return; /* the counter is full, so the loop wakes anyway */
    }
}
