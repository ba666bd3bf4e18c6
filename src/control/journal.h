/*
 * journal.h - the durable state of a voter: its term and vote, its log entries
 * and its last snapshot, in one file of checksummed records. Compaction writes
 * a new file beside the old one and renames it into place.
 *
 * An incomplete record at the end of the file is a torn write and is removed
 * when the journal opens. Any other damage fails the open with BBL_EDAMAGED.
 *
 * Functions that return int return 0 or a negative error number, mostly that
 * of the disk call that failed. After a failed bbl_journal_sync, or a failed
 * rename in bbl_journal_compact, all further records are refused with BBL_EIO.
 */
#ifndef BBL_JOURNAL_H
#define BBL_JOURNAL_H

#include "control/disk.h"
#include "util/vec.h"

typedef struct {
    uint64_t index;
    uint64_t term;
    bbl_buf data;
} bbl_journal_entry;

/* The content of a journal. */
typedef struct {
    uint64_t disk_id; /* identity of the journal */
    /* Created by `init`; its host may vote without being added. */
    bool bootstrapped;
    uint64_t term;
    uint32_t voted_for;      /* host id; 0: no vote in this term */
    uint64_t snapshot_index; /* last index that the snapshot covers; 0: none */
    uint64_t snapshot_term;
    bbl_buf snapshot;
    bbl_vec entries; /* of bbl_journal_entry, after the snapshot */
} bbl_journal_image;

typedef struct bbl_journal bbl_journal;

/*
 * Opens the journal on `disk` and reads its content into `image`. The caller
 * releases `image` with bbl_journal_image_free; on failure it is empty.
 *
 * The journal takes ownership of `disk`, also when the call fails.
 *
 * @return 0, BBL_ENOTFOUND when there is no journal, BBL_EDAMAGED,
 *         BBL_ELOCKED, or the error of the disk
 */
int bbl_journal_open(bbl_journal **out, bbl_journal_image *image,
                     bbl_disk *disk);

/*
 * Creates a new, durable journal and replaces an existing one. Takes ownership
 * of `disk`, also when the call fails.
 */
int bbl_journal_create(bbl_journal **out, bbl_disk *disk, uint64_t disk_id,
                       bool bootstrapped);

void bbl_journal_free(bbl_journal *journal);
void bbl_journal_image_free(bbl_journal_image *image);

/* Appends the term and vote. They are durable after bbl_journal_sync. */
int bbl_journal_append_vote(bbl_journal *journal, uint64_t term,
                            uint32_t voted_for);

/* Appends one entry. It is durable after bbl_journal_sync. */
int bbl_journal_append_entry(bbl_journal *journal, uint64_t index,
                             uint64_t term, bbl_str data);

/*
 * Appends a record that removes the entries from `index` on. It is durable
 * after bbl_journal_sync.
 */
int bbl_journal_truncate(bbl_journal *journal, uint64_t index);

/* Writes and syncs the appended records. */
int bbl_journal_sync(bbl_journal *journal);

/*
 * Replaces the file by one that holds `image`, durably. When it fails before
 * the rename the old file stays in use.
 */
int bbl_journal_compact(bbl_journal *journal, const bbl_journal_image *image);

/* Returns the size of the file in bytes, with the records not yet written. */
uint64_t bbl_journal_size(const bbl_journal *journal);

#endif
