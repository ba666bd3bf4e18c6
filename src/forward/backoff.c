#include "forward/backoff.h"

bool
bbl_backoff_is_active(const bbl_backoff *b, bbl_usec now)
{
    return now < b->until;
}

bool
bbl_backoff_begin(bbl_backoff *b, bbl_usec now, uint32_t ms,
                  unsigned *sent_before)
{
    bbl_usec until = now + ms * BBL_USEC_PER_MS;
    bool begins = ms > 0 && !bbl_backoff_is_active(b, now);

    if (begins) {
        *sent_before = b->sent;
        b->sent = 0;
    }
    b->until = until > b->until ? until : b->until;
    return begins;
}
