#include "net/loop.h"

#include <errno.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/map.h"

#define EVENTS_MAX 256
/* A wait that ends later than this after its timeout was not scheduled. */
#define SCHEDULING_SLACK_US (5 * BBL_USEC_PER_MS)

typedef struct {
    int fd;
    uint64_t serial; /* distinguishes reuses of a descriptor number */
    bbl_loop_ready_cb ready;
    void *ctx;
} watch;

struct bbl_loop {
    int epoll_fd;
    bool waits_in_ms; /* the kernel has no epoll_pwait2 */
    int wake_fd;
    uint64_t last_serial;
    bbl_usec polled_at;   /* when the last poll returned; 0 before it */
    bbl_usec ready_since; /* see bbl_loop_get_ready_since */
    bbl_usec timeout;     /* of the last bbl_loop_run_once */
    bbl_map watches;      /* fd + 1 -> watch */
};

static uint64_t
watch_tag(const watch *w)
{
    return (w->serial << 32) | (uint32_t)w->fd;
}

int
bbl_loop_open(bbl_loop **out)
{
    bbl_loop *loop = bbl_calloc(1, sizeof(*loop));
    struct epoll_event ev = {.events = EPOLLIN, .data.u64 = UINT64_MAX};

    *out = NULL;
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (loop->epoll_fd < 0 || loop->wake_fd < 0 ||
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &ev) != 0) {
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
    if (loop->wake_fd >= 0) {
        close(loop->wake_fd);
    }
    if (loop->epoll_fd >= 0) {
        close(loop->epoll_fd);
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
        w->serial = ++loop->last_serial & 0x7fffffff;
        bbl_map_set(&loop->watches, (uint64_t)fd + 1, w);
        op = EPOLL_CTL_ADD;
    }
    w->ready = ready;
    w->ctx = ctx;
    ev.data.u64 = watch_tag(w);
    if (epoll_ctl(loop->epoll_fd, op, fd, &ev) != 0) {
        return bbl_error_set(BBL_EIO, "epoll_ctl: %s", strerror(errno));
    }
    return 0;
}

void
bbl_loop_unwatch(bbl_loop *loop, int fd)
{
    watch *w = bbl_map_remove(&loop->watches, (uint64_t)fd + 1);

    if (w != NULL) {
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
        free(w);
    }
}

static void
clear_wake(bbl_loop *loop)
{
    uint64_t count;

    if (read(loop->wake_fd, &count, sizeof(count)) < 0) {
        return; /* already cleared */
    }
}

/* Kernels before 5.11 have no epoll_pwait2; they wait up to 1 ms longer. */
static int
poll_events(bbl_loop *loop, struct epoll_event *events, bbl_usec timeout)
{
    struct timespec ts = {(time_t)(timeout / BBL_USEC_PER_SEC),
                          (long)(timeout % BBL_USEC_PER_SEC) * 1000};
    bbl_usec ms = (timeout + BBL_USEC_PER_MS - 1) / BBL_USEC_PER_MS;

    if (!loop->waits_in_ms) {
        int n = epoll_pwait2(loop->epoll_fd, events, EVENTS_MAX, &ts, NULL);

        if (n >= 0 || errno != ENOSYS) {
            return n;
        }
        loop->waits_in_ms = true;
    }
    return epoll_wait(loop->epoll_fd, events, EVENTS_MAX,
                      ms < INT_MAX ? (int)ms : INT_MAX);
}

/*
 * Polls and records the times of the poll. A first poll without a wait shows
 * whether the events became ready after the poll before, or during this wait.
 */
static int
wait_for_events(bbl_loop *loop, struct epoll_event *events, bbl_usec timeout)
{
    bbl_usec polled_before = loop->polled_at;
    int n = poll_events(loop, events, 0);

    loop->polled_at = bbl_clock_now();
    loop->ready_since = polled_before != 0 ? polled_before : loop->polled_at;
    if (n == 0 && timeout > 0) {
        bbl_usec started = loop->polled_at;

        n = poll_events(loop, events, timeout);
        loop->polled_at = bbl_clock_now();
        loop->ready_since =
            loop->polled_at > started + timeout + SCHEDULING_SLACK_US
                ? started
                : loop->polled_at;
    }
    return n;
}

bbl_usec
bbl_loop_get_ready_since(const bbl_loop *loop)
{
    return loop->ready_since;
}

bbl_usec
bbl_loop_get_timeout(const bbl_loop *loop)
{
    return loop->timeout;
}

bbl_usec
bbl_loop_get_polled_at(const bbl_loop *loop)
{
    return loop->polled_at;
}

void
bbl_loop_run_once(bbl_loop *loop, bbl_usec timeout)
{
    struct epoll_event events[EVENTS_MAX];
    int n;

    loop->timeout = timeout;
    n = wait_for_events(loop, events, timeout);

    for (int i = 0; i < n; i++) {
        uint64_t tag = events[i].data.u64;
        watch *w;

        if (tag == UINT64_MAX) {
            clear_wake(loop);
            continue;
        }
        w = bbl_map_get(&loop->watches, (tag & UINT32_MAX) + 1);
        if (w != NULL && watch_tag(w) == tag) {
            w->ready(w->ctx, w->fd, events[i].events);
        }
    }
}

void
bbl_loop_wake(bbl_loop *loop)
{
    uint64_t one = 1;

    if (write(loop->wake_fd, &one, sizeof(one)) < 0) {
        return; /* the counter is full, so the loop wakes anyway */
    }
}
