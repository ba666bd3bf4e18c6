/*
 * disk.h - the file operations of the journal as a table of functions, so that
 * tests can inject failures and torn writes.
 */
#ifndef BBL_DISK_H
#define BBL_DISK_H

#include "util/buf.h"

typedef struct bbl_disk bbl_disk;

/*
 * The functions that return int return 0, BBL_EIO, BBL_ENOSPACE, BBL_ENOTFOUND
 * or BBL_ELOCKED. File names are relative to the folder.
 */
struct bbl_disk {
    /* Locks the folder for this process until `free`. */
    int (*lock)(bbl_disk *disk);
    /* Appends the content of a file to `out`. */
    int (*read)(bbl_disk *disk, const char *name, bbl_buf *out);
    /* Appends to a file and creates it if missing. Durable after `sync`. */
    int (*append)(bbl_disk *disk, const char *name, bbl_str bytes);
    /* Truncates a file to `size` bytes and syncs it. */
    int (*truncate)(bbl_disk *disk, const char *name, uint64_t size);
    /* Makes the content of a file durable. */
    int (*sync)(bbl_disk *disk, const char *name);
    /* Renames a file, replaces the target, and syncs the folder. */
    int (*rename)(bbl_disk *disk, const char *from, const char *to);
    /* Removes a file. A missing file is not an error. */
    int (*remove)(bbl_disk *disk, const char *name);
    /* Releases the lock and frees the disk. */
    void (*free)(bbl_disk *disk);
};

/* Opens a folder and creates it if missing. Release with `free`. */
int bbl_disk_open(bbl_disk **out, const char *folder);

#endif
