/*
 * notice.h - what the traffic thread of an entry host tells its control
 * thread: what it has observed of backend servers, requests for permits, and
 * messages to grantors about the admission of queries. The control thread
 * sends the replies back.
 */
#ifndef BBL_DAEMON_NOTICE_H
#define BBL_DAEMON_NOTICE_H

#include "forward/backend.h"
#include "forward/crash_ledger.h"
#include "forward/permit.h"
#include "forward/rollout_tally.h"
#include "forward/rollout_view.h"
#include "model/codec.h"

typedef enum {
    BBL_NOTICE_RATE_LIMIT,
    BBL_NOTICE_CRASH,
    BBL_NOTICE_HEALTH,
    BBL_NOTICE_PERMIT_REQUEST,
    BBL_NOTICE_ADMISSION,
    BBL_NOTICE_ROLLOUT_COUNTS
} bbl_notice_kind;

typedef struct {
    bbl_notice_kind kind;
    uint64_t server; /* BBL_NOTICE_RATE_LIMIT, _HEALTH: key of the server */
    uint32_t rate;   /* in the units of bblx_report.limit */
    /* BBL_NOTICE_CRASH; see bbl_observed_crash */
    uint64_t fingerprint;
    uint32_t generation;
    uint32_t health; /* BBL_NOTICE_HEALTH: as in bblx_report.limit */
    bblx_permit_request permit_request; /* BBL_NOTICE_PERMIT_REQUEST; owned */
    uint32_t grantor;                   /* BBL_NOTICE_ADMISSION: host id */
    bblx_message admission; /* the same; points to no other memory */
    /* BBL_NOTICE_ROLLOUT_COUNTS; owned, without the incarnation */
    bblx_rollout_counts rollout_counts;
} bbl_notice;

bbl_notice *bbl_notice_new_rate_limit(const bbl_backend *backend);
bbl_notice *bbl_notice_new_crash(uint64_t fingerprint, uint32_t generation);
bbl_notice *bbl_notice_new_health(const bbl_observed_health *observed);
bbl_notice *bbl_notice_new_permit_request(const bbl_permit_request *request);
bbl_notice *bbl_notice_new_admission(uint32_t grantor,
                                     const bblx_message *message);
bbl_notice *bbl_notice_new_rollout_counts(const bbl_rollout_tally *tally);

/* Frees a notice; NULL is allowed. */
void bbl_notice_free(bbl_notice *notice);

/* A grantor's reply about the admission of a query; freed with free(). */
typedef struct {
    uint32_t grantor;
    bblx_admission_reply reply;
} bbl_admission_notice;

/* Copies a reply, to be freed with bbl_permit_reply_free. */
bbl_permit_reply *bbl_permit_reply_new(const bblx_permit_reply *reply);
void bbl_permit_reply_free(bbl_permit_reply *reply);

/* Decodes a report with phase BBLX_CRASH. */
void bbl_observed_crash_read(bbl_observed_crash *out,
                             const bblx_report *report);

/* Decodes a report with phase BBLX_HEALTH. */
void bbl_observed_health_read(bbl_observed_health *out,
                              const bblx_report *report);

/* Decodes a report with phase BBLX_VERSION. */
void bbl_known_version_read(bbl_known_version *out, const bblx_report *report);

/* Decodes a report with phase BBLX_RATE_LIMIT. */
void bbl_observed_limit_read(bbl_observed_limit *out,
                             const bblx_report *report);

#endif
