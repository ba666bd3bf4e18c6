/*
 * memdisk.h - a disk in memory for tests: it forgets what was not synced
 * when it crashes, tears the last write, and fails chosen calls.
 */
#ifndef BBL_TEST_MEMDISK_H
#define BBL_TEST_MEMDISK_H

#include "control/disk.h"
#include "util/rng.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MEMDISK_FILES 4

typedef struct {
    char name[32];
    bbl_buf durable;
    bbl_buf written; /* as the running process sees it */
    bool present;
    bool present_durable;
} memdisk_file;

/* What outlives a crash; make one a host, and a disk on it a process. */
typedef struct {
    memdisk_file files[MEMDISK_FILES];
    bool locked;
    unsigned calls;   /* write-side calls so far */
    unsigned fail_at; /* the call with this number fails; 0: none */
    int fail_code;    /* BBL_EIO or BBL_ENOSPACE */
    bool fail_with_partial_write; /* the failing append writes a part */
} memdisk;

void memdisk_init(memdisk *m);
void memdisk_free(memdisk *m);

/* Returns a disk over `m`; freeing the disk keeps `m`. */
bbl_disk *memdisk_open(memdisk *m);

/*
 * Loses what was not synced. A random prefix of the bytes appended since the
 * last sync survives, perhaps with a torn sector.
 */
void memdisk_crash(memdisk *m, bbl_rng *rng);

/* Returns a file by name, made if missing. */
memdisk_file *memdisk_find_file(memdisk *m, const char *name);

#ifdef __cplusplus
}
#endif

#endif
