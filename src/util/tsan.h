/*
 * tsan.h - annotations for ThreadSanitizer, which does not recognise the
 * memory ordering of Concurrency Kit and would report false data races.
 *
 * BBL_TSAN_RELEASE(address) marks the point where one thread has finished its
 * writes, BBL_TSAN_ACQUIRE(address) the point where another thread may read
 * them. Both do nothing in builds without the sanitizer.
 */
#ifndef BBL_TSAN_H
#define BBL_TSAN_H

#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define BBL_TSAN_RELEASE(address) __tsan_release(address)
#define BBL_TSAN_ACQUIRE(address) __tsan_acquire(address)
#else
#define BBL_TSAN_RELEASE(address) ((void)(address))
#define BBL_TSAN_ACQUIRE(address) ((void)(address))
#endif

#endif
