/*
 * judge.h - decides from counts of all hosts whether the new version of a
 * service is worse than the old one.
 *
 * Load pattern: a version fails, or takes several times as long, on some of
 * its requests, at once or later. It gets a few per cent of the requests, so
 * one host sees a handful of them. The old version serves the others at the
 * same time, and what slows both alike is not to be held against the new one.
 *
 * Each of failures, slow answers and refusals is a sequential probability
 * ratio test of "as often as at the old version" against "more often by some
 * share of the answers", for a few such shares. The share of the old version
 * is estimated from its recent answers, or from those of the last second if
 * more of them were bad, plus one standard error.
 *
 * A test that reaches its lower bound goes on from there, so that a version
 * that turns bad later is found as soon as one that is bad from the start.
 */
#ifndef BBL_ROLLOUT_JUDGE_H
#define BBL_ROLLOUT_JUDGE_H

#include "bbl/types.h"

/*
 * Stated error probabilities (tests/test_rollout.c measures both). FALSE: a
 * version that answers as the old one does is judged bad within 5,000 answers.
 * MISS: a version of which a tenth of the answers are bad, in addition to what
 * the old one has, is not judged bad by its 50th bad answer.
 */
#define BBL_JUDGE_FALSE 0.01
#define BBL_JUDGE_MISS 0.01

/* First attempts at the servers of one version. */
typedef struct {
    uint64_t ended;   /* attempts that were run */
    uint64_t failed;  /* of these */
    uint64_t slow;    /* of these */
    uint64_t refused; /* not in `ended` */
} bbl_judge_sample;

typedef enum {
    BBL_VERDICT_UNDECIDED,
    BBL_VERDICT_GOOD, /* each test has reached its lower bound */
    BBL_VERDICT_BAD
} bbl_verdict;

const char *bbl_verdict_name(bbl_verdict verdict);

#define BBL_JUDGE_EFFECTS 3 /* alternatives of one test */
#define BBL_JUDGE_SERIES 3  /* failures, slow answers, refusals */

typedef struct {
    double old_count; /* recent answers of the old version, decayed */
    double old_bad;
    double now_count; /* the same, of the last second */
    double now_bad;
    double log_ratios[BBL_JUDGE_EFFECTS];
    bool passed; /* the first test has reached its lower bound */
} bbl_judge_series;

/* The tests of one route. All zero before the first answers. */
typedef struct {
    bbl_judge_series series[BBL_JUDGE_SERIES];
    bbl_usec added_at;
    bbl_usec old_seen_at;     /* when the old version has last answered */
    bbl_judge_sample old_sum; /* for the log */
    bbl_judge_sample target_sum;
    bool bad;
} bbl_judge;

/* Adds what was counted since the last call. */
void bbl_judge_add(bbl_judge *judge, bbl_usec now,
                   const bbl_judge_sample *old_version,
                   const bbl_judge_sample *target);

/* Returns the verdict; once it is bad it stays so. */
bbl_verdict bbl_judge_get_verdict(const bbl_judge *judge);

/* Returns the greatest logarithm of a likelihood ratio, for the log. */
double bbl_judge_get_evidence(const bbl_judge *judge);

#endif
