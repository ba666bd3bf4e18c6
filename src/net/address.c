#include "net/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"

int
bbl_address_parse(bblx_address *out, const char *text)
{
    const char *colon = strrchr(text, ':');
    char ip[INET_ADDRSTRLEN];
    struct in_addr in;
    char *end;
    unsigned long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return bbl_error_set(BBL_EINVAL, "an address is a.b.c.d:port");
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    port = strtoul(colon + 1, &end, 10);
    if (inet_pton(AF_INET, ip, &in) != 1 || *end != '\0' || end == colon + 1 ||
        port == 0 || port > 65535) {
        return bbl_error_set(BBL_EINVAL, "an address is a.b.c.d:port");
    }
    out->ip = ntohl(in.s_addr);
    out->port = (u_int)port;
    return 0;
}

struct sockaddr_in
bbl_address_to_sockaddr(bblx_address address)
{
    struct sockaddr_in sa;

    memset(&sa, 0, sizeof(sa));
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(address.ip);
    sa.sin_port = htons((uint16_t)address.port);
    return sa;
}

void
bbl_address_append(bbl_buf *out, bblx_address address)
{
    bbl_buf_printf(out, "%u.%u.%u.%u:%u", address.ip >> 24,
                   (address.ip >> 16) & 255, (address.ip >> 8) & 255,
                   address.ip & 255, address.port);
}
