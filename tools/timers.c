#include "timers.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "util/alloc.h"
#include "util/clock.h"
#include "util/vec.h"

typedef struct {
    bbl_usec due_at;
    timer_callback callback;
    void *ctx;
} timer;

struct timers {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    pthread_t thread;
    bbl_vec heap; /* timer; binary heap by due_at, earliest first */
    bool stop;
};

static timer *
get_timer(const timers *t, size_t i)
{
    return bbl_vec_at(&t->heap, i);
}

static void
swap_timers(timers *t, size_t i, size_t j)
{
    timer x = *get_timer(t, i);

    *get_timer(t, i) = *get_timer(t, j);
    *get_timer(t, j) = x;
}

static void
push_timer(timers *t, const timer *x)
{
    size_t i = t->heap.size;

    bbl_vec_push(&t->heap, x);
    while (i > 0 &&
           get_timer(t, (i - 1) / 2)->due_at > get_timer(t, i)->due_at) {
        swap_timers(t, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

static timer
pop_earliest(timers *t)
{
    timer first = *get_timer(t, 0);
    size_t i = 0;

    swap_timers(t, 0, t->heap.size - 1);
    t->heap.size--;
    for (;;) {
        size_t earliest = i;

        for (size_t k = 2 * i + 1; k <= 2 * i + 2; k++) {
            if (k < t->heap.size &&
                get_timer(t, k)->due_at < get_timer(t, earliest)->due_at) {
                earliest = k;
            }
        }
        if (earliest == i) {
            return first;
        }
        swap_timers(t, i, earliest);
        i = earliest;
    }
}

static void
wait_until(timers *t, bbl_usec when)
{
    struct timespec ts = {(time_t)(when / BBL_USEC_PER_SEC),
                          (long)(when % BBL_USEC_PER_SEC) * 1000};

    pthread_cond_timedwait(&t->changed, &t->lock, &ts);
}

static void *
run_timers(void *ctx)
{
    timers *t = ctx;

    pthread_mutex_lock(&t->lock);
    while (!t->stop) {
        timer x;

        if (t->heap.size == 0) {
            pthread_cond_wait(&t->changed, &t->lock);
            continue;
        }
        if (get_timer(t, 0)->due_at > bbl_clock_now()) {
            wait_until(t, get_timer(t, 0)->due_at);
            continue;
        }
        x = pop_earliest(t);
        pthread_mutex_unlock(&t->lock);
        x.callback(x.ctx);
        pthread_mutex_lock(&t->lock);
    }
    pthread_mutex_unlock(&t->lock);
    return NULL;
}

void
timers_start(timers **out)
{
    timers *t = bbl_calloc(1, sizeof(*t));
    pthread_condattr_t attr;

    t->heap = (bbl_vec)BBL_VEC_INIT(timer);
    pthread_mutex_init(&t->lock, NULL);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&t->changed, &attr);
    pthread_create(&t->thread, NULL, run_timers, t);
    *out = t;
}

void
timers_stop(timers *t)
{
    pthread_mutex_lock(&t->lock);
    t->stop = true;
    pthread_cond_signal(&t->changed);
    pthread_mutex_unlock(&t->lock);
    pthread_join(t->thread, NULL);
    bbl_vec_free(&t->heap);
    free(t);
}

void
timers_add(timers *t, bbl_usec when, timer_callback callback, void *ctx)
{
    timer x = {when, callback, ctx};

    pthread_mutex_lock(&t->lock);
    push_timer(t, &x);
    if (get_timer(t, 0)->ctx == ctx && get_timer(t, 0)->due_at == when) {
        pthread_cond_signal(&t->changed);
    }
    pthread_mutex_unlock(&t->lock);
}
