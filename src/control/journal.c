#include "control/journal.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/map.h"

#define FILE_NAME "journal"
#define TEMP_NAME "journal.new"
#define MAGIC 0x314c4242u /* "BBL1" */
#define SECTOR 512        /* bytes a disk writes as one */
#define RECORD_MAX (1u << 30)

typedef enum {
    RECORD_IDENTITY = 1,
    RECORD_VOTE = 2,
    RECORD_ENTRY = 3,
    RECORD_CUT = 4,
    RECORD_SNAPSHOT = 5
} record_kind;

/* Stored in front of every payload, in the byte order of the host. */
typedef struct {
    uint32_t magic;
    uint32_t kind;
    uint32_t size;       /* payload bytes */
    uint32_t head_check; /* over the other fields but `check` */
    uint64_t a;          /* index, term or identity, by kind */
    uint64_t b;          /* term, vote or flag, by kind */
    uint64_t check;      /* over the header and the payload */
} record_head;

struct bbl_journal {
    bbl_disk *disk;
    bbl_buf pending; /* records not yet handed to the disk */
    uint64_t size;
    bool unsynced;
    bool failed; /* a write or sync failed; nothing more is accepted */
};

/* Lets the start tell a record that was cut short from a damaged size. */
static uint32_t
head_checksum(const record_head *head)
{
    uint64_t words[4] = {((uint64_t)head->magic << 32) | head->kind,
                         head->size, head->a, head->b};

    return (uint32_t)bbl_hash(words, sizeof(words), 0);
}

static uint64_t
checksum(const record_head *head, bbl_str payload)
{
    uint64_t seed = bbl_hash(head, offsetof(record_head, check), 0);

    return bbl_hash(payload.ptr, payload.size, seed);
}

static void
put_record(bbl_buf *out, record_kind kind, uint64_t a, uint64_t b,
           bbl_str payload)
{
    record_head head = {MAGIC, kind, (uint32_t)payload.size, 0, a, b, 0};

    head.head_check = head_checksum(&head);
    head.check = checksum(&head, payload);
    bbl_buf_append(out, &head, sizeof(head));
    bbl_buf_append(out, payload.ptr, payload.size);
}

/* Reads the record at `at`; returns its whole size, or 0 if it is not one. */
static size_t
get_record(record_head *head, bbl_str *payload, bbl_str file, size_t at)
{
    size_t left = file.size - at;

    if (left < sizeof(*head)) {
        return 0;
    }
    memcpy(head, file.ptr + at, sizeof(*head));
    if (head->magic != MAGIC || head->head_check != head_checksum(head) ||
        head->size > left - sizeof(*head)) {
        return 0;
    }
    payload->ptr = file.ptr + at + sizeof(*head);
    payload->size = head->size;
    if (head->check != checksum(head, *payload)) {
        return 0;
    }
    return sizeof(*head) + head->size;
}

static bool
all_zero(const char *ptr, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (ptr[i] != 0) {
            return false;
        }
    }
    return true;
}

/* Returns whether some aligned sector after `at` was never written. */
static bool
has_zero_sector(bbl_str file, size_t at)
{
    size_t from = (at + SECTOR - 1) / SECTOR * SECTOR;

    if (all_zero(file.ptr + at, file.size - at)) {
        return true;
    }
    for (; from < file.size; from += SECTOR) {
        size_t n = file.size - from < SECTOR ? file.size - from : SECTOR;

        if (all_zero(file.ptr + from, n)) {
            return true;
        }
    }
    return false;
}

/*
 * Tells a torn last write from damage: nothing valid may follow, and either
 * the record runs past the end of the file or a sector was never written.
 */
static bool
is_torn(bbl_str file, size_t at)
{
    record_head head;
    bbl_str payload;

    for (size_t next = at + 1; next + sizeof(head) <= file.size; next++) {
        if (get_record(&head, &payload, file, next) > 0) {
            return false;
        }
    }
    if (file.size - at < sizeof(head)) {
        return true;
    }
    memcpy(&head, file.ptr + at, sizeof(head));
    if (head.magic == MAGIC && head.head_check == head_checksum(&head) &&
        head.size > file.size - at - sizeof(head)) {
        return true;
    }
    return has_zero_sector(file, at);
}

static void
drop_entries(bbl_vec *entries, uint64_t from)
{
    while (entries->size > 0) {
        bbl_journal_entry *last = bbl_vec_at(entries, entries->size - 1);

        if (last->index < from) {
            break;
        }
        bbl_buf_free(&last->data);
        entries->size--;
    }
}

static int
replay_entry(bbl_journal_image *image, const record_head *head,
             bbl_str payload)
{
    uint64_t next = image->snapshot_index + image->entries.size + 1;
    bbl_journal_entry *entry;

    if (head->a != next) {
        return bbl_error_set(BBL_EDAMAGED, "journal entry %llu follows %llu",
                             (unsigned long long)head->a,
                             (unsigned long long)next - 1);
    }
    entry = bbl_vec_add(&image->entries);
    entry->index = head->a;
    entry->term = head->b;
    bbl_buf_append(&entry->data, payload.ptr, payload.size);
    return 0;
}

static int
replay(bbl_journal_image *image, const record_head *head, bbl_str payload)
{
    switch (head->kind) {
    case RECORD_IDENTITY:
        image->disk_id = head->a;
        image->bootstrapped = head->b != 0;
        return 0;
    case RECORD_VOTE:
        image->term = head->a;
        image->voted_for = (uint32_t)head->b;
        return 0;
    case RECORD_ENTRY:
        return replay_entry(image, head, payload);
    case RECORD_CUT:
        drop_entries(&image->entries, head->a);
        return 0;
    case RECORD_SNAPSHOT:
        drop_entries(&image->entries, 0);
        image->snapshot_index = head->a;
        image->snapshot_term = head->b;
        bbl_buf_clear(&image->snapshot);
        bbl_buf_append(&image->snapshot, payload.ptr, payload.size);
        return 0;
    default:
        return bbl_error_set(BBL_EDAMAGED, "journal record of kind %u",
                             head->kind);
    }
}

static int
replay_all(bbl_journal *journal, bbl_journal_image *image, bbl_str file)
{
    size_t at = 0;

    while (at < file.size) {
        record_head head;
        bbl_str payload;
        size_t n = get_record(&head, &payload, file, at);
        int error;

        if (n == 0 && at > 0 && is_torn(file, at)) {
            break;
        }
        if (n == 0) {
            return bbl_error_set(BBL_EDAMAGED,
                                 "the journal is damaged at byte %zu of %zu",
                                 at, file.size);
        }
        error = replay(image, &head, payload);
        if (error != 0) {
            return error;
        }
        at += n;
    }
    journal->size = at;
    if (at < file.size) {
        return journal->disk->truncate(journal->disk, FILE_NAME, at);
    }
    /* What a crashed process wrote without a sync may be only in memory. */
    return journal->disk->sync(journal->disk, FILE_NAME);
}

static void
image_init(bbl_journal_image *image)
{
    memset(image, 0, sizeof(*image));
    image->entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
}

int
bbl_journal_open(bbl_journal **out, bbl_journal_image *image, bbl_disk *disk)
{
    bbl_journal *journal = bbl_calloc(1, sizeof(*journal));
    bbl_buf file = BBL_BUF_INIT;
    int error;

    *out = NULL;
    image_init(image);
    journal->disk = disk;
    error = disk->lock(disk);
    if (error != 0) {
        goto done;
    }
    error = disk->remove(disk, TEMP_NAME);
    if (error != 0) {
        goto done;
    }
    error = disk->read(disk, FILE_NAME, &file);
    if (error != 0) {
        goto done;
    }
    if (file.size == 0) {
        error = bbl_error_set(BBL_EDAMAGED, "the journal is empty");
        goto done;
    }
    error = replay_all(journal, image, bbl_buf_str(&file));

done:
    bbl_buf_free(&file);
    if (error != 0) {
        bbl_journal_image_free(image);
        bbl_journal_free(journal);
        return error;
    }
    *out = journal;
    return 0;
}

/* Writes a complete new file and renames it into place. */
static int
install(bbl_journal *journal, const bbl_buf *content)
{
    bbl_disk *disk = journal->disk;
    int error = disk->remove(disk, TEMP_NAME);

    if (error == 0) {
        error = disk->append(disk, TEMP_NAME, bbl_buf_str(content));
    }
    if (error == 0) {
        error = disk->sync(disk, TEMP_NAME);
    }
    if (error == 0) {
        error = disk->rename(disk, TEMP_NAME, FILE_NAME);
        /* A failed rename leaves it unknown which file a restart reads. */
        journal->failed = journal->failed || error != 0;
    }
    if (error == 0) {
        journal->size = content->size;
    }
    return error;
}

int
bbl_journal_create(bbl_journal **out, bbl_disk *disk, uint64_t identity,
                   bool founding)
{
    bbl_journal *journal = bbl_calloc(1, sizeof(*journal));
    bbl_buf content = BBL_BUF_INIT;
    int error;

    *out = NULL;
    journal->disk = disk;
    put_record(&content, RECORD_IDENTITY, identity, founding,
               (bbl_str){NULL, 0});
    error = disk->lock(disk);
    if (error == 0) {
        error = install(journal, &content);
    }
    bbl_buf_free(&content);
    if (error != 0) {
        bbl_journal_free(journal);
        return error;
    }
    *out = journal;
    return 0;
}

void
bbl_journal_free(bbl_journal *journal)
{
    if (journal == NULL) {
        return;
    }
    bbl_buf_free(&journal->pending);
    journal->disk->free(journal->disk);
    free(journal);
}

void
bbl_journal_image_free(bbl_journal_image *image)
{
    drop_entries(&image->entries, 0);
    bbl_vec_free(&image->entries);
    bbl_buf_free(&image->snapshot);
}

static int
add(bbl_journal *journal, record_kind kind, uint64_t a, uint64_t b,
    bbl_str payload)
{
    if (journal->failed) {
        return bbl_error_set(BBL_EIO, "the journal failed earlier");
    }
    if (payload.size > RECORD_MAX) {
        return bbl_error_set(BBL_EINVAL, "a record of %zu bytes",
                             payload.size);
    }
    put_record(&journal->pending, kind, a, b, payload);
    journal->unsynced = true;
    return 0;
}

int
bbl_journal_append_vote(bbl_journal *journal, uint64_t term,
                        uint32_t voted_for)
{
    return add(journal, RECORD_VOTE, term, voted_for, (bbl_str){NULL, 0});
}

int
bbl_journal_append_entry(bbl_journal *journal, uint64_t index, uint64_t term,
                         bbl_str data)
{
    return add(journal, RECORD_ENTRY, index, term, data);
}

int
bbl_journal_truncate(bbl_journal *journal, uint64_t index)
{
    return add(journal, RECORD_CUT, index, 0, (bbl_str){NULL, 0});
}

int
bbl_journal_sync(bbl_journal *journal)
{
    bbl_disk *disk = journal->disk;
    int error;

    if (journal->failed) {
        return bbl_error_set(BBL_EIO, "the journal failed earlier");
    }
    if (!journal->unsynced) {
        return 0;
    }
    error = disk->append(disk, FILE_NAME, bbl_buf_str(&journal->pending));
    if (error == 0) {
        error = disk->sync(disk, FILE_NAME);
    }
    if (error != 0) {
        /* The kernel may have dropped the pages: a retry proves nothing. */
        journal->failed = true;
        return error;
    }
    journal->size += journal->pending.size;
    bbl_buf_clear(&journal->pending);
    journal->unsynced = false;
    return 0;
}

int
bbl_journal_compact(bbl_journal *journal, const bbl_journal_image *image)
{
    bbl_buf content = BBL_BUF_INIT;
    bbl_str none = {NULL, 0};
    int error;

    if (journal->failed) {
        return bbl_error_set(BBL_EIO, "the journal failed earlier");
    }
    put_record(&content, RECORD_IDENTITY, image->disk_id, image->bootstrapped,
               none);
    put_record(&content, RECORD_VOTE, image->term, image->voted_for, none);
    if (image->snapshot_index > 0) {
        put_record(&content, RECORD_SNAPSHOT, image->snapshot_index,
                   image->snapshot_term, bbl_buf_str(&image->snapshot));
    }
    for (size_t i = 0; i < image->entries.size; i++) {
        const bbl_journal_entry *e = bbl_vec_at(&image->entries, i);

        put_record(&content, RECORD_ENTRY, e->index, e->term,
                   bbl_buf_str(&e->data));
    }
    error = install(journal, &content);
    if (error == 0) {
        bbl_buf_clear(&journal->pending);
        journal->unsynced = false;
    }
    bbl_buf_free(&content);
    return error;
}

uint64_t
bbl_journal_size(const bbl_journal *journal)
{
    return journal->size + journal->pending.size;
}
