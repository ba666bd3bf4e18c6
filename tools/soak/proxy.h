/*
 * proxy.h - a TCP proxy that injects network faults. It can delay bytes, hold
 * back one direction, reset connections, and stop passing bytes on the open
 * connections while new ones work.
 *
 * All functions must be called from the thread of the loop.
 */
#ifndef BBL_SOAK_PROXY_H
#define BBL_SOAK_PROXY_H

#include "model/codec.h"
#include "net/loop.h"

typedef struct soak_proxy soak_proxy;

typedef enum {
    PROXY_PASS,     /* bytes are passed on without delay */
    PROXY_DELAY,    /* bytes in both directions are delayed */
    PROXY_HOLD_IN,  /* bytes to the target are held back */
    PROXY_HOLD_OUT, /* bytes from the target are held back */
} proxy_mode;

/*
 * Listens on `address` and connects each accepted connection to `target`.
 *
 * @param out set to the new proxy, to be freed with soak_proxy_free; NULL if
 *            the address cannot be listened on
 * @return 0 or BBL_EIO
 */
int soak_proxy_open(soak_proxy **out, bbl_loop *loop, bblx_address address,
                    bblx_address target);

/* Closes all connections and frees the proxy; NULL is allowed. */
void soak_proxy_free(soak_proxy *proxy);

/*
 * Sets the mode of all connections, open and new.
 *
 * @param delay used with PROXY_DELAY only
 */
void soak_proxy_set_mode(soak_proxy *proxy, proxy_mode mode, bbl_usec delay);

/* Closes every open connection with a TCP reset. */
void soak_proxy_reset_connections(soak_proxy *proxy);

/* Makes the proxy reset each new connection, as a server that has ended. */
void soak_proxy_refuse(soak_proxy *proxy, bool refuse);

/* Stops passing bytes on the open connections, which stay open. */
void soak_proxy_silence_connections(soak_proxy *proxy);

/* Sends the buffered bytes whose delay has elapsed. Call it each
 * millisecond. */
void soak_proxy_tick(soak_proxy *proxy, bbl_usec now);

#endif
