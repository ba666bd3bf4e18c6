#include "rollout/judge.h"

#include <math.h>

/* Bounds of the logarithms of the likelihood ratios. With shorter distances
 * one in 20 rollouts of a good version was rolled back in the trials. */
#define UPPER_BOUND 9.2
#define LOWER_BOUND (-4.6)
/* The old version is judged by answers of about this time, but by no fewer
 * than OLD_COUNT_MIN: small services answer rarely. */
#define OLD_HALF_LIFE_S 5.0
#define OLD_COUNT_MIN 300.0
/* The same for what slows both versions at this moment. Without it a good
 * version was judged bad in 779 of 1,000 trials of a sudden degradation. */
#define NOW_HALF_LIFE_S 0.5
/* What is taken of the old version before its first answers. */
#define PRIOR_COUNT 25.0
#define PRIOR_BAD 0.5
/* Without answers of the old version for this long, nothing is known of the
 * present load: only great differences count, and twice the usual share of bad
 * answers is taken to be no fault of the version. */
#define OLD_STALE_US (2 * BBL_USEC_PER_SEC)

/*
 * Refusals count only while the old version answers too, within this time: at
 * the last step callers that bring more than usual fill the queues of a sound
 * version, and nothing shows that the old one would have refused as well.
 */
#define OLD_PRESENT_US (500 * BBL_USEC_PER_MS)
#define SERIES_REFUSED 2

/* Shares of the answers that are bad in addition, least first. */
static const double effects[BBL_JUDGE_SERIES][BBL_JUDGE_EFFECTS] = {
    {0.05, 0.2, 0.6},  /* failures */
    {0.08, 0.25, 0.6}, /* slow answers: they depend on the load too */
    {0.3, 0.5, 0.8},   /* refusals: few servers are full more often */
};

const char *
bbl_verdict_name(bbl_verdict verdict)
{
    static const char *const names[] = {"undecided", "good", "bad"};

    return names[verdict];
}

static uint64_t
get_count(const bbl_judge_sample *s, unsigned series)
{
    return series == SERIES_REFUSED ? s->ended + s->refused : s->ended;
}

static uint64_t
get_bad(const bbl_judge_sample *s, unsigned series)
{
    return series == 0 ? s->failed : series == 1 ? s->slow : s->refused;
}

/* Adds answers of the old version, and lets the earlier ones count less. */
static void
add_old(bbl_judge_series *s, double seconds, double count, double bad)
{
    double kept = exp2(-seconds / OLD_HALF_LIFE_S);

    if (count == 0) {
        return;
    }
    if (s->old_count * kept < OLD_COUNT_MIN) {
        kept = fmin(1, OLD_COUNT_MIN / s->old_count);
    }
    s->old_count = s->old_count * kept + count;
    s->old_bad = s->old_bad * kept + bad;
    kept = exp2(-seconds / NOW_HALF_LIFE_S);
    s->now_count = s->now_count * kept + count;
    s->now_bad = s->now_bad * kept + bad;
}

/* Returns the share of bad answers that is expected of the old version. */
static double
get_expected(const bbl_judge_series *s, bool stale)
{
    double n = s->old_count + PRIOR_COUNT;
    double p = (s->old_bad + PRIOR_BAD) / n;

    /* Few answers of the last second change the estimate only a little. */
    p = fmax(p, (s->now_bad + PRIOR_COUNT * p) / (s->now_count + PRIOR_COUNT));
    p += sqrt(p * (1 - p) / n);
    return fmin(stale ? 2 * p : p, 0.95);
}

static void
add_target(bbl_judge *j, unsigned series, bool stale, double count, double bad)
{
    bbl_judge_series *s = &j->series[series];
    double p = get_expected(s, stale);

    for (unsigned i = stale ? 1 : 0; i < BBL_JUDGE_EFFECTS; i++) {
        double worse = p + (1 - p) * effects[series][i];
        double *ratio = &s->log_ratios[i];

        *ratio +=
            bad * log(worse / p) + (count - bad) * log((1 - worse) / (1 - p));
        if (*ratio <= LOWER_BOUND) {
            *ratio = LOWER_BOUND;
            s->passed = s->passed || i == 0;
        }
        j->bad = j->bad || *ratio >= UPPER_BOUND;
    }
}

static void
add_sum(bbl_judge_sample *sum, const bbl_judge_sample *s)
{
    sum->ended += s->ended;
    sum->failed += s->failed;
    sum->slow += s->slow;
    sum->refused += s->refused;
}

void
bbl_judge_add(bbl_judge *j, bbl_usec now, const bbl_judge_sample *old_version,
              const bbl_judge_sample *target)
{
    double seconds =
        j->added_at == 0 ? 0 : (double)(now - j->added_at) / BBL_USEC_PER_SEC;
    bool stale;
    bool alone;

    if (old_version->ended + old_version->refused > 0) {
        j->old_seen_at = now;
    }
    stale = j->old_seen_at != 0 && now > j->old_seen_at + OLD_STALE_US;
    alone = j->old_seen_at != 0 && now > j->old_seen_at + OLD_PRESENT_US;
    for (unsigned i = 0; i < BBL_JUDGE_SERIES; i++) {
        add_old(&j->series[i], seconds, (double)get_count(old_version, i),
                (double)get_bad(old_version, i));
        if (get_count(target, i) > 0 && !(alone && i == SERIES_REFUSED)) {
            add_target(j, i, stale, (double)get_count(target, i),
                       (double)get_bad(target, i));
        }
    }
    j->added_at = now;
    add_sum(&j->old_sum, old_version);
    add_sum(&j->target_sum, target);
}

bbl_verdict
bbl_judge_get_verdict(const bbl_judge *j)
{
    if (j->bad) {
        return BBL_VERDICT_BAD;
    }
    return j->series[0].passed && j->series[1].passed ? BBL_VERDICT_GOOD
                                                      : BBL_VERDICT_UNDECIDED;
}

double
bbl_judge_get_evidence(const bbl_judge *j)
{
    double greatest = LOWER_BOUND;

    for (unsigned i = 0; i < BBL_JUDGE_SERIES; i++) {
        for (unsigned e = 0; e < BBL_JUDGE_EFFECTS; e++) {
            greatest = fmax(greatest, j->series[i].log_ratios[e]);
        }
    }
    return greatest;
}
