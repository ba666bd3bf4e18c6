#include "timers.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "util/alloc.h"
#include "util/clock.h"
#include "util/vec.h"

typedef struct {
    bbl_usec at;
    timer_callback fire;
    void *ctx;
} timer;

struct timers {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    pthread_t thread;
    bbl_vec heap; /* timer, least time first */
    bool stop;
};

static timer *
at(const timers *t, size_t i)
{
    return bbl_vec_at(&t->heap, i);
}

static void
swap(timers *t, size_t i, size_t j)
{
    timer x = *at(t, i);

    *at(t, i) = *at(t, j);
    *at(t, j) = x;
}

static void
push(timers *t, const timer *x)
{
    size_t i = t->heap.size;

    bbl_vec_push(&t->heap, x);
    while (i > 0 && at(t, (i - 1) / 2)->at > at(t, i)->at) {
        swap(t, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

static timer
pop(timers *t)
{
    timer first = *at(t, 0);
    size_t i = 0;

    swap(t, 0, t->heap.size - 1);
    t->heap.size--;
    for (;;) {
        size_t least = i;

        for (size_t k = 2 * i + 1; k <= 2 * i + 2; k++) {
            if (k < t->heap.size && at(t, k)->at < at(t, least)->at) {
                least = k;
            }
        }
        if (least == i) {
            return first;
        }
        swap(t, i, least);
        i = least;
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
run(void *ctx)
{
    timers *t = ctx;

    pthread_mutex_lock(&t->lock);
    while (!t->stop) {
        timer x;

        if (t->heap.size == 0) {
            pthread_cond_wait(&t->changed, &t->lock);
            continue;
        }
        if (at(t, 0)->at > bbl_clock_now()) {
            wait_until(t, at(t, 0)->at);
            continue;
        }
        x = pop(t);
        pthread_mutex_unlock(&t->lock);
        x.fire(x.ctx);
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
    pthread_create(&t->thread, NULL, run, t);
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
timers_add(timers *t, bbl_usec when, timer_callback fire, void *ctx)
{
    timer x = {when, fire, ctx};

    pthread_mutex_lock(&t->lock);
    push(t, &x);
    if (at(t, 0)->ctx == ctx && at(t, 0)->at == when) {
        pthread_cond_signal(&t->changed);
    }
    pthread_mutex_unlock(&t->lock);
}
