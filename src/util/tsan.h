/*
 * handover.h - ThreadSanitizer does not see the ordering that Concurrency Kit
 * gives; these tell it. They do nothing in other builds.
 */
#ifndef BBL_HANDOVER_H
#define BBL_HANDOVER_H

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
