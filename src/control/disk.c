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

#define READ_CHUNK_BYTES 65536

/* A disk over a folder. The file that was used last stays open. */
typedef struct {
    bbl_disk base;
    int folder_fd;
    int lock_fd;        /* -1 until locked */
    int file_fd;        /* -1 when no file is open */
    char file_name[32]; /* of the open file */
} folder_disk;

/* Sets an error from errno. Returns its code. */
static int
set_system_error(const char *call, const char *name)
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
    if (d->file_fd >= 0) {
        close(d->file_fd);
        d->file_fd = -1;
    }
}

static int
open_file(folder_disk *d, const char *name)
{
    if (d->file_fd >= 0 && strcmp(d->file_name, name) == 0) {
        return 0;
    }
    close_file(d);
    d->file_fd = openat(d->folder_fd, name,
                        O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (d->file_fd < 0) {
        return set_system_error("open", name);
    }
    snprintf(d->file_name, sizeof(d->file_name), "%s", name);
    return fsync(d->folder_fd) == 0 ? 0
                                    : set_system_error("sync folder of", name);
}

static int
disk_lock(bbl_disk *disk)
{
    folder_disk *d = (folder_disk *)disk;

    d->lock_fd =
        openat(d->folder_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (d->lock_fd < 0) {
        return set_system_error("open", "lock");
    }
    if (flock(d->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return bbl_error_set(BBL_ELOCKED,
                             "another process uses this data folder");
    }
    return 0;
}

static int
disk_read(bbl_disk *disk, const char *name, bbl_buf *out)
{
    folder_disk *d = (folder_disk *)disk;
    int fd = openat(d->folder_fd, name, O_RDONLY | O_CLOEXEC);
    int error = 0;

    if (fd < 0) {
        return set_system_error("open", name);
    }
    for (;;) {
        char *end = bbl_buf_reserve(out, READ_CHUNK_BYTES);
        ssize_t n = read(fd, end, READ_CHUNK_BYTES);

        if (n < 0) {
            error = set_system_error("read", name);
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
        ssize_t n = write(d->file_fd, bytes.ptr, bytes.size);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return set_system_error("write", name);
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

    if (error == 0 && ftruncate(d->file_fd, (off_t)size) != 0) {
        error = set_system_error("truncate", name);
    }
    if (error == 0 && fsync(d->file_fd) != 0) {
        error = set_system_error("sync", name);
    }
    return error;
}

static int
disk_sync(bbl_disk *disk, const char *name)
{
    folder_disk *d = (folder_disk *)disk;
    int error = open_file(d, name);

    if (error == 0 && fdatasync(d->file_fd) != 0) {
        error = set_system_error("sync", name);
    }
    return error;
}

static int
disk_rename(bbl_disk *disk, const char *from, const char *to)
{
    folder_disk *d = (folder_disk *)disk;

    close_file(d);
    if (renameat(d->folder_fd, from, d->folder_fd, to) != 0) {
        return set_system_error("rename", from);
    }
    return fsync(d->folder_fd) == 0 ? 0
                                    : set_system_error("sync folder of", to);
}

static int
disk_remove(bbl_disk *disk, const char *name)
{
    folder_disk *d = (folder_disk *)disk;

    close_file(d);
    if (unlinkat(d->folder_fd, name, 0) != 0 && errno != ENOENT) {
        return set_system_error("remove", name);
    }
    return 0;
}

static void
disk_free(bbl_disk *disk)
{
    folder_disk *d = (folder_disk *)disk;

    close_file(d);
    if (d->lock_fd >= 0) {
        close(d->lock_fd);
    }
    if (d->folder_fd >= 0) {
        close(d->folder_fd);
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
        return set_system_error("create folder", folder);
    }
    d = bbl_calloc(1, sizeof(*d));
    d->base = calls;
    d->file_fd = -1;
    d->lock_fd = -1;
    d->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (d->folder_fd < 0) {
        disk_free(&d->base);
        return set_system_error("open folder", folder);
    }
    *out = &d->base;
    return 0;
}
