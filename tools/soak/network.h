/*
 * network.h - the loopback addresses of a soak run. Each run reserves a /16
 * network of its own, so that several runs on one machine do not interfere.
 */
#ifndef BBL_SOAK_NETWORK_H
#define BBL_SOAK_NETWORK_H

#include <stddef.h>

/* Groups of addresses, the third byte of an address. */
#define SOAK_NET_CONTROL 1
#define SOAK_NET_ENTRY 2
#define SOAK_NET_SERVERS 3
#define SOAK_NET_LIST 4
#define SOAK_NET_PROXIES 5
/* The platform's list is served here, through a proxy. */
#define SOAK_LIST_PROXY 2
#define SOAK_LIST_PORT 8102

/*
 * Reserves a network until the process ends. Call it once, before the other
 * functions.
 *
 * @return 0, or BBL_ENET if all networks are in use
 */
int soak_network_reserve(void);

/* Formats the address of member `n` of a group. */
void soak_network_format(char *out, size_t size, unsigned group, unsigned n,
                         unsigned port);

/*
 * Parses the host number of a URL that begins with an address of a group;
 * returns 0 if it is none.
 */
unsigned soak_network_parse_url(const char *url, unsigned group);

#endif
