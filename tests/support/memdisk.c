#include "memdisk.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"

typedef struct {
    bbl_disk base;
    memdisk *storage;
    bool holds_lock;
} mem_handle;

static void
replace_content(bbl_buf *to, const bbl_buf *from)
{
    bbl_buf_clear(to);
    bbl_buf_append(to, from->ptr, from->size);
}

memdisk_file *
memdisk_find_file(memdisk *m, const char *name)
{
    for (int i = 0; i < MEMDISK_FILES; i++) {
        memdisk_file *f = &m->files[i];

        if (f->name[0] == '\0') {
            strncpy(f->name, name, sizeof(f->name) - 1);
        }
        if (strcmp(f->name, name) == 0) {
            return f;
        }
    }
    abort();
}

/* Counts a call. Returns the injected failure, or 0. */
static int
inject_failure(memdisk *m)
{
    m->calls++;
    if (m->full) {
        return bbl_error_set(BBL_ENOSPACE, "the disk is full");
    }
    if (m->fail_at != 0 && m->calls == m->fail_at) {
        return bbl_error_set(m->fail_code, "failure injected by the test");
    }
    return 0;
}

static int
mem_lock(bbl_disk *disk)
{
    mem_handle *h = (mem_handle *)disk;

    if (h->storage->locked) {
        return bbl_error_set(BBL_ELOCKED, "locked");
    }
    h->storage->locked = true;
    h->holds_lock = true;
    return 0;
}

static int
mem_read(bbl_disk *disk, const char *name, bbl_buf *out)
{
    memdisk_file *f = memdisk_find_file(((mem_handle *)disk)->storage, name);

    if (!f->present) {
        return bbl_error_set(BBL_ENOTFOUND, "no such file");
    }
    bbl_buf_append(out, f->written.ptr, f->written.size);
    return 0;
}

static int
mem_append(bbl_disk *disk, const char *name, bbl_str bytes)
{
    memdisk *m = ((mem_handle *)disk)->storage;
    memdisk_file *f = memdisk_find_file(m, name);
    int error = inject_failure(m);

    f->present = true;
    if (error != 0 && m->fail_with_partial_write) {
        bbl_buf_append(&f->written, bytes.ptr, bytes.size / 2);
    }
    if (error == 0) {
        bbl_buf_append(&f->written, bytes.ptr, bytes.size);
    }
    return error;
}

static int
mem_sync(bbl_disk *disk, const char *name)
{
    memdisk *m = ((mem_handle *)disk)->storage;
    memdisk_file *f = memdisk_find_file(m, name);
    int error = inject_failure(m);

    if (error == 0) {
        replace_content(&f->durable, &f->written);
        f->present_durable = true;
    }
    return error;
}

static int
mem_truncate(bbl_disk *disk, const char *name, uint64_t size)
{
    memdisk *m = ((mem_handle *)disk)->storage;
    memdisk_file *f = memdisk_find_file(m, name);
    int error = inject_failure(m);

    if (error == 0) {
        f->written.size = (size_t)size;
        replace_content(&f->durable, &f->written);
        f->present_durable = f->present;
    }
    return error;
}

static int
mem_rename(bbl_disk *disk, const char *from, const char *to)
{
    memdisk *m = ((mem_handle *)disk)->storage;
    memdisk_file *a = memdisk_find_file(m, from);
    memdisk_file *b = memdisk_find_file(m, to);
    int error = inject_failure(m);

    if (error != 0) {
        return error;
    }
    replace_content(&b->written, &a->written);
    replace_content(&b->durable, &a->durable);
    b->present = true;
    b->present_durable = true;
    a->present = false;
    a->present_durable = false;
    return 0;
}

static int
mem_remove(bbl_disk *disk, const char *name)
{
    memdisk *m = ((mem_handle *)disk)->storage;
    memdisk_file *f = memdisk_find_file(m, name);
    int error = inject_failure(m);

    if (error == 0) {
        f->present = false;
        f->present_durable = false;
        bbl_buf_clear(&f->written);
        bbl_buf_clear(&f->durable);
    }
    return error;
}

static void
mem_free(bbl_disk *disk)
{
    mem_handle *h = (mem_handle *)disk;

    if (h->holds_lock) {
        h->storage->locked = false;
    }
    free(h);
}

void
memdisk_init(memdisk *m)
{
    memset(m, 0, sizeof(*m));
}

void
memdisk_free(memdisk *m)
{
    for (int i = 0; i < MEMDISK_FILES; i++) {
        bbl_buf_free(&m->files[i].durable);
        bbl_buf_free(&m->files[i].written);
    }
}

bbl_disk *
memdisk_open(memdisk *m)
{
    static const bbl_disk calls = {
        mem_lock, mem_read,   mem_append, mem_truncate,
        mem_sync, mem_rename, mem_remove, mem_free,
    };
    mem_handle *h = bbl_calloc(1, sizeof(*h));

    h->base = calls;
    h->storage = m;
    return &h->base;
}

static void
crash_file(memdisk_file *f, bbl_rng *rng)
{
    size_t extra = f->written.size > f->durable.size
                       ? f->written.size - f->durable.size
                       : 0;
    size_t keep = (size_t)bbl_rng_below(rng, extra + 1);

    if (!f->present_durable) {
        f->present = false;
        bbl_buf_clear(&f->written);
        bbl_buf_clear(&f->durable);
        return;
    }
    bbl_buf_append(&f->durable, f->written.ptr + f->durable.size, keep);
    replace_content(&f->written, &f->durable);
    f->present = true;
}

void
memdisk_crash(memdisk *m, bbl_rng *rng)
{
    m->locked = false;
    for (int i = 0; i < MEMDISK_FILES; i++) {
        crash_file(&m->files[i], rng);
    }
}
