/*
 * storm.c - sends many versions of a configuration one after the other, as an
 * operator does: each to the control hosts in turn until it is acknowledged.
 * The document is a file in which the text @VERSION@, of as many bytes as the
 * number that takes its place, stands for the version.
 *
 * usage: storm FILE FIRST_VERSION COUNT GAP_MS SECONDS ADDRESS...
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "exchange.h"
#include "http.h"

#define BODY_MAX_BYTES (16 << 20)
#define MARK "@VERSION@"
#define TIMEOUT_MS 2000 /* PROTOCOL.md: a second, more for large bodies */
#define TRIES_MAX 8

int
main(int argc, char **argv)
{
    char *body = malloc(BODY_MAX_BYTES);
    FILE *file = argc > 6 ? fopen(argv[1], "r") : NULL;
    char digits[sizeof(MARK)];
    char answered_by[64];
    size_t size;
    char *mark;
    long version;
    long last;
    int64_t end;

    if (body == NULL || file == NULL) {
        fputs("usage: storm FILE FIRST_VERSION COUNT GAP_MS SECONDS "
              "ADDRESS...\n",
              stderr);
        return 2;
    }
    size = fread(body, 1, BODY_MAX_BYTES, file);
    mark = memmem(body, size, MARK, strlen(MARK));
    if (mark == NULL) {
        fputs("the file has no " MARK "\n", stderr);
        return 2;
    }
    version = atol(argv[2]);
    last = version + atol(argv[3]) - 1;
    end = clock_ms() + 1000 * atol(argv[5]);
    for (; version <= last && clock_ms() < end; version++) {
        int64_t start = clock_ms();
        int64_t left;
        int status = 0;

        snprintf(digits, sizeof(digits), "%9ld", version);
        memcpy(mark, digits, strlen(MARK));
        for (int i = 0; i < TRIES_MAX && status != 200; i++) {
            order o = {"PUT",       argv[6 + (version + i) % (argc - 6)],
                       "/-/config", body,
                       size,        TIMEOUT_MS};

            status = exchange(answered_by, sizeof(answered_by), &o);
        }
        printf("%lld order PUT version=%ld at=%s answer=%d\n",
               (long long)wall_ms(), version, answered_by, status);
        fflush(stdout);
        left = start + atol(argv[4]) - clock_ms();
        if (left > 0) {
            usleep((useconds_t)left * 1000);
        }
    }
    free(body);
    return 0;
}
