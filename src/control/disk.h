/*
 * disk.h - the disk calls of the journal, as a table of functions, so that
 * tests can fail or cut each of them.
 */
#ifndef BBL_DISK_H
#define BBL_DISK_H

#include "util/buf.h"

typedef struct bbl_disk bbl_disk;

/* Every call returns 0 or BBL_EIO, BBL_ENOSPACE, BBL_ENOTFOUND, BBL_ELOCKED.
 */
struct bbl_disk {
    /* Takes the folder for this process until free. */
    int (*lock)(bbl_disk *disk);
    /* Reads a whole file. */
    int (*read)(bbl_disk *disk, const char *name, bbl_buf *out);
    /* Appends to a file, made if missing; durable only after sync. */
    int (*append)(bbl_disk *disk, const char *name, bbl_str bytes);
    /* Cuts a file to `size` bytes and syncs it. */
    int (*truncate)(bbl_disk *disk, const char *name, uint64_t size);
    /* Makes the file's bytes durable. */
    int (*sync)(bbl_disk *disk, const char *name);
    /* Renames over the target and syncs the folder. */
    int (*rename)(bbl_disk *disk, const char *from, const char *to);
    /* Removes a file; a missing one is no error. */
    int (*remove)(bbl_disk *disk, const char *name);
    void (*free)(bbl_disk *disk);
};

/* Opens a real folder, made if missing. Freed through its `free`. */
int bbl_disk_open(bbl_disk **out, const char *folder);

#endif
