#include "control/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "util/alloc.h"

#define READ_CHUNK 65536 /* bytes */

/* A folder; the file appended to last stays open. */
typedef struct {
    bbl_disk base;
    int folder;
    int lock;
    int fd;
    char name[32];
} folder_disk;

static int
failed(const char *call, const char *name)
{
    int code = BBL_EIO;

    if (errno == ENOSPC || errno == EDQUOT) {
        code = BBL_ENOSPACE;
    }
    else if (errno == ENOENT) {
        code = BBL_ENOTFOUND;
    }
    return bbl_error_set(code, "%s %s: %s", call, name, strerror(errno));
}

static void
close_file(folder_disk *d)
{
    if (d->fd >= 0) {
        close(d->fd);
        d->fd = -1;
    }
}

static int
open_file(folder_disk *d, const char *name)
{
    if (d->fd >= 0 && strcmp(d->name, name) == 0) {
        return 0;
    }
    close_file(d);
    d->fd =
        openat(d->folder, name, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (d->fd < 0) {
        return failed("open", name);
    }
    snprintf(d->name, sizeof(d->name), "%s", name);
    return fsync(d->folder) == 0 ? 0 : failed("sync folder of", name);
}

static int
disk_lock(bbl_disk *disk)
{
    folder_disk *d = (folder_disk *)disk;

    d->lock = openat(d->folder, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (d->lock < 0) {
        return failed("open", "lock");
    }
    if (flock(d->lock, LOCK_EX | LOCK_NB) != 0) {
        return bbl_error_set(BBL_ELOCKED,
                             "another process uses this data folder");
    }
    return 0;
}

static int
disk_read(bbl_disk *disk, const char *name, bbl_buf *out)
{
    folder_disk *d = (folder_disk *)disk;
    int fd = openat(d->folder, name, O_RDONLY | O_CLOEXEC);
    int error = 0;

    if (fd < 0) {
        return failed("open", name);
    }
    for (;;) {
        char *end = bbl_buf_reserve(out, READ_CHUNK);
        ssize_t n = read(fd, end, READ_CHUNK);

        if (n < 0) {
            error = failed("read", name);
        }
        if (n <= 0) {
            break;
        }
        out->size += (size_t)n;
    }
    close(fd);
    return error;
}

static int
disk_append(bbl_disk *disk, const char *name, bbl_str bytes)
{
    folder_disk *d = (folder_disk *)disk;
    int error = open_file(d, name);

    while (error == 0 && bytes.size > 0) {
        ssize_t n = write(d->fd, bytes.ptr, bytes.size);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return failed("write", name);
        }
        bytes.ptr += n;
        bytes.size -= (size_t)n;
    }
    return error;
}

static int
disk_truncate(bbl_disk *disk, const char *name, uint64_t size)
{
    folder_disk *d = (folder_disk *)disk;
    int error = open_file(d, name);

    if (error == 0 && ftruncate(d->fd, (off_t)size) != 0) {
        error = failed("truncate", name);
    }
    if (error == 0 && fsync(d->fd) != 0) {
        error = failed("sync", name);
    }
    return error;
}

static int
disk_sync(bbl_disk *disk, const char *name)
{
    folder_disk *d = (folder_disk *)disk;
    int error = open_file(d, name);

    if (error == 0 && fdatasync(d->fd) != 0) {
        error = failed("sync", name);
    }
    return error;
}

static int
disk_rename(bbl_disk *disk, const char *from, const char *to)
{
    folder_disk *d = (folder_disk *)disk;

    close_file(d);
    if (renameat(d->folder, from, d->folder, to) != 0) {
        return failed("rename", from);
    }
    return fsync(d->folder) == 0 ? 0 : failed("sync folder of", to);
}

static int
disk_remove(bbl_disk *disk, const char *name)
{
    folder_disk *d = (folder_disk *)disk;

    close_file(d);
    if (unlinkat(d->folder, name, 0) != 0 && errno != ENOENT) {
        return failed("remove", name);
    }
    return 0;
}

static void
disk_free(bbl_disk *disk)
{
    folder_disk *d = (folder_disk *)disk;

    close_file(d);
    if (d->lock >= 0) {
        close(d->lock);
    }
    if (d->folder >= 0) {
        close(d->folder);
    }
    free(d);
}

int
bbl_disk_open(bbl_disk **out, const char *folder)
{
    static const bbl_disk calls = {
        disk_lock, disk_read,   disk_append, disk_truncate,
        disk_sync, disk_rename, disk_remove, disk_free,
    };
    folder_disk *d;

    *out = NULL;
    if (mkdir(folder, 0700) != 0 && errno != EEXIST) {
        return failed("make folder", folder);
    }
    d = bbl_calloc(1, sizeof(*d));
    d->base = calls;
    d->fd = -1;
    d->lock = -1;
    d->folder = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (d->folder < 0) {
        disk_free(&d->base);
        return failed("open folder", folder);
    }
    *out = &d->base;
    return 0;
}
