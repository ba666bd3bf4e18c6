/*
 * proxy.h - a TCP proxy on loopback that misbehaves on request: it delays
 * bytes, resets connections, holds back one direction, or falls silent on
 * the connections that are open while new ones work.
 */
#ifndef BBL_SOAK_PROXY_H
#define BBL_SOAK_PROXY_H

#include "model/codec.h"
#include "net/loop.h"

typedef struct soak_proxy soak_proxy;

typedef enum {
    PROXY_PASS,
    PROXY_DELAY,    /* bytes of both directions arrive later */
    PROXY_HOLD_IN,  /* nothing reaches the target */
    PROXY_HOLD_OUT, /* nothing comes back from it */
} proxy_mode;

int soak_proxy_open(soak_proxy **out, bbl_loop *loop, bblx_address listen,
                    bblx_address target);
void soak_proxy_free(soak_proxy *proxy);

/* Sets what happens to bytes from now on; `delay` is for PROXY_DELAY. */
void soak_proxy_set_mode(soak_proxy *proxy, proxy_mode mode, bbl_usec delay);

/* Resets every open connection. */
void soak_proxy_reset_connections(soak_proxy *proxy);

/* Passes nothing any more on the connections that are open. */
void soak_proxy_silence_connections(soak_proxy *proxy);

/* Delivers what is due; call each millisecond. */
void soak_proxy_tick(soak_proxy *proxy, bbl_usec now);

#endif
