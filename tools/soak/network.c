#include "soak/network.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bbl/errors.h"

/* Second byte of the addresses: 127.FIRST.x.x to 127.LAST.x.x. */
#define NETWORK_FIRST 61
#define NETWORK_LAST 90
/* A socket bound here marks the network as used; the kernel releases it when
 * the process ends. */
#define MARK_GROUP 0
#define MARK_NUMBER 1
#define MARK_PORT 8101

static unsigned network = NETWORK_FIRST;

static int
bind_mark(void)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons(MARK_PORT)};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    sa.sin_addr.s_addr =
        htonl(127u << 24 | network << 16 | MARK_GROUP << 8 | MARK_NUMBER);
    if (fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
        return 0;
    }
    if (fd >= 0) {
        close(fd);
    }
    return bbl_error_set(BBL_ENET, "127.%u.0.0/16 is in use", network);
}

int
soak_network_reserve(void)
{
    for (network = NETWORK_FIRST; network <= NETWORK_LAST; network++) {
        if (bind_mark() == 0) {
            return 0;
        }
    }
    return bbl_error_set(BBL_ENET, "all loopback networks are in use");
}

void
soak_network_format(char *out, size_t size, unsigned group, unsigned n,
                    unsigned port)
{
    snprintf(out, size, "127.%u.%u.%u:%u", network, group, n, port);
}

unsigned
soak_network_parse_url(const char *url, unsigned group)
{
    unsigned url_network;
    unsigned url_group;
    unsigned n;

    return sscanf(url, "http://127.%u.%u.%u:", &url_network, &url_group, &n) ==
                       3 &&
                   url_network == network && url_group == group
               ? n
               : 0;
}
