/*
 * explain.c - the story of one request from the logs of many processes: what
 * its entry host decided, what that host knew then, and what others saw.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cli/cli.h"
#include "util/log.h"
#include "util/vec.h"

#define CONTEXT_MS 5000 /* before a request, in which changes matter */
#define LINE_BYTES 4096

/* One parsed line of a log; the texts are owned by `text`. */
typedef struct {
    char *text;
    gint64 time_ms;
    int event;
    unsigned host;
} log_line;

/* Copies the value of a key; empty when there is none. */
static void
value_of(const char *text, const char *key, char *out, size_t size)
{
    const char *at = text;
    size_t n = strlen(key);

    out[0] = '\0';
    while ((at = strstr(at, key)) != NULL) {
        if (at > text && at[-1] == ' ' && at[n] == '=') {
            const char *from = at + n + 1;
            char end = *from == '"' ? '"' : ' ';
            size_t len;

            from += *from == '"';
            len = strcspn(from, end == '"' ? "\"\n" : " \n");
            len = len < size - 1 ? len : size - 1;
            memcpy(out, from, len);
            out[len] = '\0';
            return;
        }
        at += n;
    }
}

/* Parses a line; other programs' lines and prefixes are skipped. */
static bool
parse_line(log_line *out, const char *text)
{
    const char *number = strstr(text, " BBL");
    const char *time = number;
    char host[16];
    char stamp[32];
    GDateTime *when;

    if (number == NULL) {
        return false;
    }
    /* TIME LEVEL BBLn: the time stands two words before the number. */
    for (int spaces = 0; time > text && spaces < 2; time--) {
        spaces += time[-1] == ' ';
    }
    time += time > text || *time == ' ';
    g_strlcpy(stamp, time, sizeof(stamp));
    stamp[strcspn(stamp, " ")] = '\0';
    when = g_date_time_new_from_iso8601(stamp, NULL);
    if (when == NULL) {
        return false;
    }
    out->time_ms = g_date_time_to_unix(when) * 1000 +
                   g_date_time_get_microsecond(when) / 1000;
    g_date_time_unref(when);
    value_of(text, "host", host, sizeof(host));
    out->host = (unsigned)strtoul(host, NULL, 10);
    out->event = atoi(number + 4);
    out->text = g_strdup(time);
    return true;
}

static void
read_lines(bbl_vec *lines, FILE *in)
{
    char text[LINE_BYTES];

    while (fgets(text, sizeof(text), in) != NULL) {
        log_line line;

        if (parse_line(&line, text)) {
            bbl_vec_push(lines, &line);
        }
    }
}

static int
compare_time(const void *a, const void *b)
{
    const log_line *x = a;
    const log_line *y = b;

    return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

/* What a host knows or is, until the next such line. */
static bool
is_state(int event)
{
    return event == BBL_EV_START || event == BBL_EV_DRAIN ||
           event == BBL_EV_ROUTING || event == BBL_EV_ROUTING_IN_USE ||
           event == BBL_EV_EVACUATION || event == BBL_EV_CONTROL_LOST ||
           event == BBL_EV_CONTROL_FOUND || event == BBL_EV_LEADER ||
           event == BBL_EV_CATALOG_FAILED || event == BBL_EV_CATALOG ||
           event == BBL_EV_LOST_LINES;
}

/* Prints the newest line of each state event of a host before a time. */
static void
print_states(const bbl_vec *lines, unsigned host, gint64 until)
{
    puts("what this host knew:");
    for (size_t i = 0; i < lines->size; i++) {
        const log_line *l = bbl_vec_at(lines, i);
        bool newest = true;

        if (l->host != host || l->time_ms > until || !is_state(l->event)) {
            continue;
        }
        for (size_t k = i + 1; newest && k < lines->size; k++) {
            const log_line *later = bbl_vec_at(lines, k);

            newest = !(later->host == host && later->event == l->event &&
                       later->time_ms <= until);
        }
        if (newest) {
            printf("  %s", l->text);
        }
    }
}

/* Prints the changes of a service's servers, at any host. */
static void
print_servers(const bbl_vec *lines, const char *service, gint64 until)
{
    char named[128];

    printf("changes of the servers of %s in the %d ms before, at all hosts:\n",
           service, CONTEXT_MS);
    for (size_t i = 0; i < lines->size; i++) {
        const log_line *l = bbl_vec_at(lines, i);

        if (l->event != BBL_EV_BACKEND || l->time_ms > until ||
            l->time_ms + CONTEXT_MS < until) {
            continue;
        }
        value_of(l->text, "service", named, sizeof(named));
        if (strcmp(named, service) == 0) {
            printf("  %s", l->text);
        }
    }
}

/* One sentence for an outcome, from the values of its line. */
static void
print_cause(const char *text)
{
    static const struct {
        const char *outcome;
        const char *sentence;
    } causes[] = {
        {"ok", "the request was answered in full"},
        {"partial", "a shard gave no usable part before the target"},
        {"failed", "the server's own failure was passed on"},
        {"no-routing", "the host had not learnt any routing yet"},
        {"no-route", "no route of this version matches the host and path"},
        {"unavailable", "too few shards had a server that may get work"},
        {"busy", "no connection to a usable server was free in time"},
        {"broken", "it was sent, and no usable response came back"},
        {"timeout", "no usable response came within the time that it had"},
        {"left", "the caller left before the answer"},
        {"overload", "callers brought more than the servers can do"},
    };
    char outcome[32];
    char service[128];
    char server[32];
    char detail[128];

    value_of(text, "outcome", outcome, sizeof(outcome));
    value_of(text, "service", service, sizeof(service));
    value_of(text, "server", server, sizeof(server));
    value_of(text, "detail", detail, sizeof(detail));
    for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
        if (strcmp(causes[i].outcome, outcome) == 0) {
            printf("cause: %s", causes[i].sentence);
        }
    }
    if (service[0] != '\0') {
        printf("; at service %s", service);
    }
    if (server[0] != '\0' && strcmp(server, "usable") != 0) {
        printf(", where a server was %s", server);
    }
    if (detail[0] != '\0') {
        printf("; the last attempt there: %s", detail);
    }
    puts("");
}

static bool
is_end(const log_line *l)
{
    return l->event == BBL_EV_REQUEST || l->event == BBL_EV_REQUEST_FAILED;
}

/* Prints the story of a request; false when no line names it. */
static bool
explain(const bbl_vec *lines, const char *id)
{
    bool found = false;
    char named[128];
    char service[128];

    for (size_t i = 0; i < lines->size; i++) {
        const log_line *l = bbl_vec_at(lines, i);

        value_of(l->text, "id", named, sizeof(named));
        if (strcmp(named, id) != 0 ||
            !(is_end(l) || l->event == BBL_EV_SECOND)) {
            continue;
        }
        fputs(l->text, stdout);
        if (!is_end(l)) {
            continue;
        }
        found = true;
        print_cause(l->text);
        print_states(lines, l->host, l->time_ms);
        value_of(l->text, "service", service, sizeof(service));
        if (service[0] != '\0') {
            print_servers(lines, service, l->time_ms);
        }
    }
    return found;
}

int
bbl_cli_explain(int argc, char **argv)
{
    GOptionEntry entries[] = {{NULL}};
    bbl_vec lines = BBL_VEC_INIT(log_line);
    int code = BBL_EXIT_OK;

    if (bbl_cli_parse_options(&argc, &argv, entries,
                              "ID [FILE...] - tell why a request ended as it "
                              "did, from logs") != 0) {
        return BBL_EXIT_USAGE;
    }
    if (argc < 2) {
        return bbl_cli_print_error(BBL_EXIT_USAGE, "give the id of a request");
    }
    for (int i = 2; i < argc; i++) {
        FILE *in = fopen(argv[i], "re");

        if (in == NULL) {
            code = bbl_cli_print_error(BBL_EXIT_USAGE, "%s cannot be read",
                                       argv[i]);
            goto done;
        }
        read_lines(&lines, in);
        fclose(in);
    }
    if (argc == 2) {
        read_lines(&lines, stdin);
    }
    if (lines.size > 0) {
        qsort(lines.ptr, lines.size, lines.item_size, compare_time);
    }
    if (!explain(&lines, argv[1])) {
        code =
            bbl_cli_print_error(BBL_EXIT_FAILED,
                                "no line names request %s: it did not reach a "
                                "host whose log was given, or its line was "
                                "dropped (see BBL1007)",
                                argv[1]);
    }

done:
    for (size_t i = 0; i < lines.size; i++) {
        g_free(BBL_VEC_AT(log_line, &lines, i)->text);
    }
    bbl_vec_free(&lines);
    return code;
}
