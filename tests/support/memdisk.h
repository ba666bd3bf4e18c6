/*
 * memdisk.h - disk in memory for tests. A crash loses the data that was not
 * synced and may tear the last write; a chosen call can fail.
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
    bbl_buf durable; /* content after a crash */
    bbl_buf written; /* content that the process reads */
    bool present;
    bool present_durable;
} memdisk_file;

/*
 * The files of one host, which outlive a crash. Each process of the host opens
 * its own disk on them.
 */
typedef struct {
    memdisk_file files[MEMDISK_FILES];
    bool locked;
    unsigned calls;   /* calls so far that write, sync, rename or remove */
    unsigned fail_at; /* number of the call that fails; 0: none */
    int fail_code;    /* BBL_EIO or BBL_ENOSPACE */
    bool full;        /* each write fails with BBL_ENOSPACE */
    bool fail_with_partial_write; /* a failing append writes the first half */
} memdisk;

void memdisk_init(memdisk *m);
void memdisk_free(memdisk *m);

/* Returns a disk on the files of `m`. Freeing the disk keeps `m`. */
bbl_disk *memdisk_open(memdisk *m);

/*
 * Loses the data that was not synced, except a random prefix of the bytes
 * appended to a file since its last sync.
 */
void memdisk_crash(memdisk *m, bbl_rng *rng);

/* Returns a file by name and creates its entry if missing. */
memdisk_file *memdisk_find_file(memdisk *m, const char *name);

#ifdef __cplusplus
}
#endif

#endif
