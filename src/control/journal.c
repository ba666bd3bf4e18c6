#include "control/journal.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/map.h"

#define FILE_NAME "journal"
#define TEMP_NAME "journal.new"
#define RECORD_MAGIC 0x314c4242u /* "BBL1" */
#define SECTOR_BYTES 512         /* unit that a disk writes atomically */
#define RECORD_MAX_BYTES (1u << 30)

typedef enum {
    RECORD_IDENTITY = 1,
    RECORD_VOTE = 2,
    RECORD_ENTRY = 3,
    RECORD_TRUNCATE = 4,
    RECORD_SNAPSHOT = 5
} record_kind;

/* Header in front of each payload, in the byte order of the host. */
typedef struct {
    uint32_t magic;
    uint32_t kind;
    uint32_t size;         /* payload size in bytes */
    uint32_t header_check; /* checksum of magic, kind, size and both values */
    uint64_t first_value;  /* index, term or identity, depending on kind */
    uint64_t second_value; /* term, vote or flag, depending on kind */
    uint64_t record_check; /* checksum of the header and the payload */
} record_header;

struct bbl_journal {
    bbl_disk *disk;
    bbl_buf pending; /* encoded records that are not yet written */
    uint64_t size;   /* bytes in the file */
    bool unsynced;
    bool failed; /* a sync or rename failed; no more records are accepted */
};

/*
 * Checksums the header alone, so that an incomplete record can be told from
 * one with a damaged size.
 */
static uint32_t
checksum_header(const record_header *head)
{
    uint64_t words[4] = {((uint64_t)head->magic << 32) | head->kind,
                         head->size, head->first_value, head->second_value};

    return (uint32_t)bbl_hash(words, sizeof(words), 0);
}

static uint64_t
checksum_record(const record_header *head, bbl_str payload)
{
    uint64_t seed = bbl_hash(head, offsetof(record_header, record_check), 0);

    return bbl_hash(payload.ptr, payload.size, seed);
}

static void
encode_record(bbl_buf *out, record_kind kind, uint64_t first_value,
              uint64_t second_value, bbl_str payload)
{
    record_header head = {
        RECORD_MAGIC, kind, (uint32_t)payload.size, 0, first_value,
        second_value, 0};

    head.header_check = checksum_header(&head);
    head.record_check = checksum_record(&head, payload);
    bbl_buf_append(out, &head, sizeof(head));
    bbl_buf_append(out, payload.ptr, payload.size);
}

/* Returns the size of the record at `offset`, or 0 if it is not valid. */
static size_t
decode_record(record_header *head, bbl_str *payload, bbl_str file,
              size_t offset)
{
    size_t left = file.size - offset;

    if (left < sizeof(*head)) {
        return 0;
    }
    memcpy(head, file.ptr + offset, sizeof(*head));
    if (head->magic != RECORD_MAGIC ||
        head->header_check != checksum_header(head) ||
        head->size > left - sizeof(*head)) {
        return 0;
    }
    payload->ptr = file.ptr + offset + sizeof(*head);
    payload->size = head->size;
    if (head->record_check != checksum_record(head, *payload)) {
        return 0;
    }
    return sizeof(*head) + head->size;
}

static bool
is_all_zero(const char *ptr, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (ptr[i] != 0) {
            return false;
        }
    }
    return true;
}

/*
 * Returns whether all bytes, or an aligned sector, after `offset` are zero,
 * which shows that they were never written.
 */
static bool
has_zero_sector(bbl_str file, size_t offset)
{
    size_t from = (offset + SECTOR_BYTES - 1) / SECTOR_BYTES * SECTOR_BYTES;

    if (is_all_zero(file.ptr + offset, file.size - offset)) {
        return true;
    }
    for (; from < file.size; from += SECTOR_BYTES) {
        size_t n =
            file.size - from < SECTOR_BYTES ? file.size - from : SECTOR_BYTES;

        if (is_all_zero(file.ptr + from, n)) {
            return true;
        }
    }
    return false;
}

/*
 * Returns whether the invalid record at `offset` is a torn last write and not
 * damage: no valid record follows, and either the record runs past the end of
 * the file or a sector was never written.
 */
static bool
is_torn_write(bbl_str file, size_t offset)
{
    record_header head;
    bbl_str payload;

    for (size_t next = offset + 1; next + sizeof(head) <= file.size; next++) {
        if (decode_record(&head, &payload, file, next) > 0) {
            return false;
        }
    }
    if (file.size - offset < sizeof(head)) {
        return true;
    }
    memcpy(&head, file.ptr + offset, sizeof(head));
    if (head.magic == RECORD_MAGIC &&
        head.header_check == checksum_header(&head) &&
        head.size > file.size - offset - sizeof(head)) {
        return true;
    }
    return has_zero_sector(file, offset);
}

static void
truncate_entries(bbl_vec *entries, uint64_t from)
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
replay_entry(bbl_journal_image *image, const record_header *head,
             bbl_str payload)
{
    uint64_t next = image->snapshot_index + image->entries.size + 1;
    bbl_journal_entry *entry;

    if (head->first_value != next) {
        return bbl_error_set(BBL_EDAMAGED,
                             "journal entry %llu follows entry %llu",
                             (unsigned long long)head->first_value,
                             (unsigned long long)next - 1);
    }
    entry = bbl_vec_add(&image->entries);
    entry->index = head->first_value;
    entry->term = head->second_value;
    bbl_buf_append(&entry->data, payload.ptr, payload.size);
    return 0;
}

static int
replay_record(bbl_journal_image *image, const record_header *head,
              bbl_str payload)
{
    switch (head->kind) {
    case RECORD_IDENTITY:
        image->disk_id = head->first_value;
        image->bootstrapped = head->second_value != 0;
        return 0;
    case RECORD_VOTE:
        image->term = head->first_value;
        image->voted_for = (uint32_t)head->second_value;
        return 0;
    case RECORD_ENTRY:
        return replay_entry(image, head, payload);
    case RECORD_TRUNCATE:
        truncate_entries(&image->entries, head->first_value);
        return 0;
    case RECORD_SNAPSHOT:
        truncate_entries(&image->entries, 0);
        image->snapshot_index = head->first_value;
        image->snapshot_term = head->second_value;
        bbl_buf_clear(&image->snapshot);
        bbl_buf_append(&image->snapshot, payload.ptr, payload.size);
        return 0;
    default:
        return bbl_error_set(BBL_EDAMAGED, "unknown journal record kind %u",
                             head->kind);
    }
}

static int
replay_file(bbl_journal *journal, bbl_journal_image *image, bbl_str file)
{
    size_t offset = 0;

    while (offset < file.size) {
        record_header head;
        bbl_str payload;
        size_t n = decode_record(&head, &payload, file, offset);
        int error;

        if (n == 0 && offset > 0 && is_torn_write(file, offset)) {
            break;
        }
        if (n == 0) {
            return bbl_error_set(BBL_EDAMAGED,
                                 "the journal is damaged at byte %zu of %zu",
                                 offset, file.size);
        }
        error = replay_record(image, &head, payload);
        if (error != 0) {
            return error;
        }
        offset += n;
    }
    journal->size = offset;
    if (offset < file.size) {
        return journal->disk->truncate(journal->disk, FILE_NAME, offset);
    }
    /*
     * Records that a crashed process wrote without a sync may exist only in
     * the page cache.
     */
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
    error = replay_file(journal, image, bbl_buf_str(&file));

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

/* Writes a new file with `content` and renames it over the journal. */
static int
replace_file(bbl_journal *journal, const bbl_buf *content)
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
        /* After a failed rename it is unknown which file a restart reads. */
        journal->failed = journal->failed || error != 0;
    }
    if (error == 0) {
        journal->size = content->size;
    }
    return error;
}

int
bbl_journal_create(bbl_journal **out, bbl_disk *disk, uint64_t disk_id,
                   bool bootstrapped)
{
    bbl_journal *journal = bbl_calloc(1, sizeof(*journal));
    bbl_buf content = BBL_BUF_INIT;
    int error;

    *out = NULL;
    journal->disk = disk;
    encode_record(&content, RECORD_IDENTITY, disk_id, bootstrapped,
                  (bbl_str){NULL, 0});
    error = disk->lock(disk);
    if (error == 0) {
        error = replace_file(journal, &content);
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
    truncate_entries(&image->entries, 0);
    bbl_vec_free(&image->entries);
    bbl_buf_free(&image->snapshot);
}

static int
queue_record(bbl_journal *journal, record_kind kind, uint64_t first_value,
             uint64_t second_value, bbl_str payload)
{
    if (journal->failed) {
        return bbl_error_set(BBL_EIO, "the journal failed earlier");
    }
    if (payload.size > RECORD_MAX_BYTES) {
        return bbl_error_set(BBL_EINVAL,
                             "journal record of %zu bytes is too large",
                             payload.size);
    }
    encode_record(&journal->pending, kind, first_value, second_value, payload);
    journal->unsynced = true;
    return 0;
}

int
bbl_journal_append_vote(bbl_journal *journal, uint64_t term,
                        uint32_t voted_for)
{
    return queue_record(journal, RECORD_VOTE, term, voted_for,
                        (bbl_str){NULL, 0});
}

int
bbl_journal_append_entry(bbl_journal *journal, uint64_t index, uint64_t term,
                         bbl_str data)
{
    return queue_record(journal, RECORD_ENTRY, index, term, data);
}

int
bbl_journal_truncate(bbl_journal *journal, uint64_t index)
{
    return queue_record(journal, RECORD_TRUNCATE, index, 0,
                        (bbl_str){NULL, 0});
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
        /*
         * The kernel may have dropped the dirty pages, so that a second sync
         * could succeed without writing them.
         */
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
    encode_record(&content, RECORD_IDENTITY, image->disk_id,
                  image->bootstrapped, none);
    encode_record(&content, RECORD_VOTE, image->term, image->voted_for, none);
    if (image->snapshot_index > 0) {
        encode_record(&content, RECORD_SNAPSHOT, image->snapshot_index,
                      image->snapshot_term, bbl_buf_str(&image->snapshot));
    }
    for (size_t i = 0; i < image->entries.size; i++) {
        const bbl_journal_entry *e = bbl_vec_at(&image->entries, i);

        encode_record(&content, RECORD_ENTRY, e->index, e->term,
                      bbl_buf_str(&e->data));
    }
    error = replace_file(journal, &content);
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
