/*
 * journal.h - the durable part of a voter: its vote, its log entries and its
 * last snapshot, in one file of checksummed records. Compaction writes a new
 * file beside the old one and renames it into place.
 *
 * A record that is cut short at the end of the file is a torn write and is
 * dropped; damage anywhere before that refuses the start with BBL_EDAMAGED.
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

/* What a journal holds when it is opened. */
typedef struct {
    uint64_t disk_id;  /* identity of this journal */
    bool bootstrapped; /* made by `init`, may vote at once */
    uint64_t term;
    uint32_t voted_for;      /* host id, 0: nobody */
    uint64_t snapshot_index; /* last index that the snapshot covers */
    uint64_t snapshot_term;
    bbl_buf snapshot;
    bbl_vec entries; /* bbl_journal_entry, after the snapshot */
} bbl_journal_image;

typedef struct bbl_journal bbl_journal;

/*
 * Opens the journal of a disk and fills `image`, which the caller releases
 * with bbl_journal_image_free. A missing journal gives BBL_ENOTFOUND.
 * The journal takes the disk over and frees it, also on failure.
 */
int bbl_journal_open(bbl_journal **out, bbl_journal_image *image,
                     bbl_disk *disk);

/* Makes a new, durable journal; the disk is taken over as above. */
int bbl_journal_create(bbl_journal **out, bbl_disk *disk, uint64_t identity,
                       bool founding);

void bbl_journal_free(bbl_journal *journal);
void bbl_journal_image_free(bbl_journal_image *image);

/* Records the term and vote; durable after bbl_journal_sync. */
int bbl_journal_append_vote(bbl_journal *journal, uint64_t term,
                            uint32_t voted_for);

/* Records one entry; durable after bbl_journal_sync. */
int bbl_journal_append_entry(bbl_journal *journal, uint64_t index,
                             uint64_t term, bbl_str data);

/* Forgets the entries from `index` on; durable after bbl_journal_sync. */
int bbl_journal_truncate(bbl_journal *journal, uint64_t index);

/* Makes all records durable; does nothing when none is new. */
int bbl_journal_sync(bbl_journal *journal);

/*
 * Replaces the file by one that holds the image. Durable on return; on
 * failure the old file stands.
 */
int bbl_journal_compact(bbl_journal *journal, const bbl_journal_image *image);

/* Returns the bytes of the present file. */
uint64_t bbl_journal_size(const bbl_journal *journal);

#endif
