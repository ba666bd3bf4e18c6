/*
 * http.h - the little of HTTP/1.1 that the stand-ins of this review speak.
 */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_MAX_BYTES 16384

/* Returns the time of the steady clock in milliseconds. */
int64_t clock_ms(void);

/* Returns the time of day in milliseconds since 1970. */
int64_t wall_ms(void);

/* Parses "a.b.c.d:port"; ends the process if the text is no address. */
struct sockaddr_in parse_address(const char *text);

/* Returns a listening socket; ends the process if there is none. */
int listen_on(const char *address);

/* Returns a socket that connects to an address, or -1. */
int connect_to(struct sockaddr_in to);

/*
 * Finds the end of a head.
 *
 * @return the bytes of the head with its empty line, 0 if it is incomplete
 */
size_t find_head_end(const char *bytes, size_t size);

/*
 * Copies the value of a header field, or an empty text if there is none.
 *
 * @return whether the field is there
 */
bool get_field(char *out, size_t out_size, const char *head, size_t size,
               const char *name);

#endif
