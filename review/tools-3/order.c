/*
 * order.c - sends one order of an operator to a control host and prints the
 * status of the answer, 0 if there is none in time. A connection that brings
 * no answer in time is reset.
 *
 * usage: order METHOD ADDRESS PATH TIMEOUT_MS [FILE]
 */
#include <stdio.h>
#include <stdlib.h>

#include "exchange.h"

#define BODY_MAX_BYTES (16 << 20)

/* Reads a file, or nothing if there is none. */
static char *
read_file(const char *path, size_t *size)
{
    FILE *file = path != NULL ? fopen(path, "r") : NULL;
    char *body = malloc(BODY_MAX_BYTES);

    if (body == NULL || (path != NULL && file == NULL)) {
        perror(path != NULL ? path : "malloc");
        exit(2);
    }
    *size = file != NULL ? fread(body, 1, BODY_MAX_BYTES, file) : 0;
    if (file != NULL) {
        fclose(file);
    }
    return body;
}

int
main(int argc, char **argv)
{
    char answered_by[64];
    size_t size;
    char *body;
    int status;

    if (argc < 5) {
        fputs("usage: order METHOD ADDRESS PATH TIMEOUT_MS [FILE]\n", stderr);
        return 2;
    }
    body = read_file(argc > 5 ? argv[5] : NULL, &size);
    order o = {argv[1], argv[2], argv[3], body, size, atoi(argv[4])};
    status = exchange(answered_by, sizeof(answered_by), &o);
    printf("%d %s\n", status, answered_by);
    free(body);
    return 0;
}
