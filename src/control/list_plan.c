#include "control/list_plan.h"

/* Shortest time between two reads of the list. */
#define INTERVAL_MIN_US (600 * BBL_USEC_PER_MS)
/* Shares of the platform's rate limit that the reads use: the usual share, and
 * the largest share. */
#define USUAL_SHARE 0.2
#define MAX_SHARE 0.5
/* Longest time between two reads by the leader, unless the largest share of
 * the rate limit requires more. */
#define LEADER_INTERVAL_US (1200 * BBL_USEC_PER_MS)
/* Age after which an entry host reads the list itself; the leader's last two
 * reads have failed by then. */
#define STALE_US (3000 * BBL_USEC_PER_MS)
/* How long a host that has started waits for an election and the feed before
 * it reads the list itself. Without a leader it has no routing either. */
#define START_WAIT_US (1500 * BBL_USEC_PER_MS)
/* The same if a leader answers: the feed is on its way. */
#define LEASED_START_WAIT_US (4000 * BBL_USEC_PER_MS)
/* Entry hosts that all read the list within this time need not take turns. */
#define TOGETHER_US BBL_USEC_PER_SEC

/* Returns the time in which all readers read the list at a share of the rate.
 */
static bbl_usec
get_read_time(const bbl_list_plan_input *in, double share)
{
    double readers = in->leads || in->entry_hosts == 0 ? 1 : in->entry_hosts;

    return (bbl_usec)(in->pages * readers * BBL_USEC_PER_SEC /
                      in->calls_per_s / share);
}

/* Returns how much longer than the first of them this entry host waits. */
static bbl_usec
get_turn(const bbl_list_plan_input *in)
{
    bbl_usec all = get_read_time(in, MAX_SHARE);

    return all > TOGETHER_US
               ? (bbl_usec)(in->spread * (double)(all - TOGETHER_US))
               : 0;
}

bool
bbl_list_plan_should_read(const bbl_list_plan_input *in)
{
    bbl_usec wait = in->has_lease ? LEASED_START_WAIT_US : START_WAIT_US;

    if (in->leads) {
        return true;
    }
    if (!in->entry) {
        /* It may be elected after a restart of all hosts, which then wait for
         * the list. */
        return in->age == UINT64_MAX && !in->has_lease;
    }
    if (in->age != UINT64_MAX) {
        return in->age > STALE_US + get_turn(in);
    }
    return in->uptime > wait + get_turn(in);
}

bbl_usec
bbl_list_plan_get_interval(const bbl_list_plan_input *in)
{
    bbl_usec usual = get_read_time(in, USUAL_SHARE);
    bbl_usec minimum = get_read_time(in, MAX_SHARE);

    if (in->leads && usual > LEADER_INTERVAL_US) {
        return minimum > LEADER_INTERVAL_US ? minimum : LEADER_INTERVAL_US;
    }
    return usual > INTERVAL_MIN_US ? usual : INTERVAL_MIN_US;
}
