/*
 * explain.c - explains from the logs of many processes how one request ended:
 * the decisions of its entry host, the state known to that host at the time,
 * and the changes of servers that all hosts observed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cli/cli.h"
#include "util/log.h"
#include "util/vec.h"

#define CONTEXT_WINDOW_MS 5000 /* before a request ended */
#define LINE_MAX_BYTES 4096

/* One parsed line of a log. */
typedef struct {
    char *text;     /* from the time on; freed with g_free */
    gint64 time_ms; /* since the epoch */
    int event;      /* bbl_log_event */
    unsigned host;
} log_line;

/* Copies the value of a key to `out`, without quotes; an absent key has an
 * empty value. */
static void
copy_value(const char *text, const char *key, char *out, size_t size)
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

/* Parses a line and drops what precedes its time. Returns false if the line
 * is not a log line of this program. */
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
    /* TIME LEVEL BBLn: the time is two words before the number. */
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
    copy_value(text, "host", host, sizeof(host));
    out->host = (unsigned)strtoul(host, NULL, 10);
    out->event = atoi(number + 4);
    out->text = g_strdup(time);
    return true;
}

static void
read_lines(bbl_vec *lines, FILE *in)
{
    char text[LINE_MAX_BYTES];

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

/* Returns whether an event reports a state of its host, which holds until the
 * next such event. */
static bool
is_state_event(int event)
{
    return event == BBL_EV_START || event == BBL_EV_DRAIN ||
           event == BBL_EV_ROUTING || event == BBL_EV_ROUTING_IN_USE ||
           event == BBL_EV_ORGANISATIONS || event == BBL_EV_EVACUATION ||
           event == BBL_EV_CONTROL_LOST || event == BBL_EV_CONTROL_FOUND ||
           event == BBL_EV_LEADER || event == BBL_EV_CATALOG_FAILED ||
           event == BBL_EV_CATALOG || event == BBL_EV_REACH ||
           event == BBL_EV_LOST_LINES;
}

/* Prints the newest line of each state event of a host up to a time. */
static void
print_states(const bbl_vec *lines, unsigned host, gint64 until)
{
    puts("what this host knew:");
    for (size_t i = 0; i < lines->size; i++) {
        const log_line *l = bbl_vec_at(lines, i);
        bool newest = true;

        if (l->host != host || l->time_ms > until ||
            !is_state_event(l->event)) {
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

/* Prints the state changes of the servers of a service that any host logged
 * in the time before `until`. */
static void
print_server_changes(const bbl_vec *lines, const char *service, gint64 until)
{
    char named[128];

    printf("changes of the servers of %s in the %d ms before, at all hosts:\n",
           service, CONTEXT_WINDOW_MS);
    for (size_t i = 0; i < lines->size; i++) {
        const log_line *l = bbl_vec_at(lines, i);

        if ((l->event != BBL_EV_BACKEND && l->event != BBL_EV_SERVER_HEALTH) ||
            l->time_ms > until || l->time_ms + CONTEXT_WINDOW_MS < until) {
            continue;
        }
        copy_value(l->text, "service", named, sizeof(named));
        if (strcmp(named, service) == 0) {
            printf("  %s", l->text);
        }
    }
}

/* Prints what the grantor said that was asked about the load of a request. */
static void
print_load(const char *text)
{
    static const struct {
        const char *load;
        const char *sentence;
    } decisions[] = {
        {"admitted", "it was admitted"},
        {"waited", "it had to wait, and its time was over"},
        {"queue", "the wait would have been too long, or was"},
        {"deadline", "it could not have met its deadline"},
    };
    char load[32];
    char limit[32];
    char in_flight[32];
    char waiting[32];

    copy_value(text, "load", load, sizeof(load));
    copy_value(text, "load_limit", limit, sizeof(limit));
    copy_value(text, "load_in_flight", in_flight, sizeof(in_flight));
    copy_value(text, "load_waiting", waiting, sizeof(waiting));
    for (size_t i = 0; i < sizeof(decisions) / sizeof(decisions[0]); i++) {
        if (strcmp(decisions[i].load, load) == 0) {
            printf("load: %s; the limit of all hosts together was %s queries "
                   "in flight, with %s in flight and %s waiting\n",
                   decisions[i].sentence, limit, in_flight, waiting);
        }
    }
}

/* Prints one sentence about the outcome that a request's line reports. */
static void
print_cause(const char *text)
{
    static const struct {
        const char *outcome;
        const char *sentence;
    } causes[] = {
        {"ok", "the request was answered in full"},
        {"partial", "a shard sent no usable part before the latency target"},
        {"failed", "the server's own failure was passed on"},
        {"no-routing", "the host had not received any routing yet"},
        {"no-route", "no route of this version matches the host and path"},
        {"unconfirmed", "no route matches or no organisation has its key, and "
                        "this host could not tell whether its routing "
                        "was the newest; it has not run"},
        {"unauthorized",
         "the route needs the key of an organisation, and the request had "
         "none, several or an unknown one; it has not run"},
        {"unavailable", "too few shards had a usable server"},
        {"busy", "no connection to a usable server was free in time"},
        {"broken", "it was sent, but no usable response came back"},
        {"timeout", "no usable response came in time"},
        {"left", "the caller left before the answer"},
        {"expired",
         "this host read it too late to answer in time; it has not run"},
        {"overload", "callers sent more than the servers can process"},
        {"quota",
         "its organisation was over its limit at all hosts together; it has "
         "not run"},
        {"unadmitted",
         "no control host that grants admission answered this host; it has "
         "not run"},
    };
    char outcome[32];
    char service[128];
    char server[32];
    char detail[128];
    char organisation[128];

    copy_value(text, "outcome", outcome, sizeof(outcome));
    copy_value(text, "service", service, sizeof(service));
    copy_value(text, "server", server, sizeof(server));
    copy_value(text, "detail", detail, sizeof(detail));
    copy_value(text, "org", organisation, sizeof(organisation));
    for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
        if (strcmp(causes[i].outcome, outcome) == 0) {
            printf("cause: %s", causes[i].sentence);
        }
    }
    if (organisation[0] != '\0') {
        printf("; sent by organisation %s", organisation);
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
is_request_end(const log_line *l)
{
    return l->event == BBL_EV_REQUEST || l->event == BBL_EV_REQUEST_FAILED;
}

/* Prints the explanation of a request. Returns false if no line reports how
 * the request ended. */
static bool
explain_request(const bbl_vec *lines, const char *id)
{
    bool found = false;
    char named[128];
    char service[128];

    for (size_t i = 0; i < lines->size; i++) {
        const log_line *l = bbl_vec_at(lines, i);

        copy_value(l->text, "id", named, sizeof(named));
        if (strcmp(named, id) != 0 ||
            !(is_request_end(l) || l->event == BBL_EV_SECOND)) {
            continue;
        }
        fputs(l->text, stdout);
        if (!is_request_end(l)) {
            continue;
        }
        found = true;
        print_cause(l->text);
        print_load(l->text);
        print_states(lines, l->host, l->time_ms);
        copy_value(l->text, "service", service, sizeof(service));
        if (service[0] != '\0') {
            print_server_changes(lines, service, l->time_ms);
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
                              "ID [FILE...] - explain from logs why a request "
                              "ended as it did") != 0) {
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
    if (!explain_request(&lines, argv[1])) {
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
