#include <stdarg.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "util/alloc.h"
#include "util/clock.h"

#define ADDRESS_TIMEOUT_MS 1200L   /* of one exchange */
#define REQUEST_TIMEOUT_US 8000000 /* of all rounds together */
#define ROUND_PAUSE_US 100000      /* between two rounds */
#define ADDRESSES_MAX 64
#define STATUS_MISDIRECTED 421
#define URL_MAX 256

int
bbl_cli_print_error(int code, const char *fmt, ...)
{
    va_list ap;

    fputs("baobablatch: ", stderr);
    va_start(ap, fmt);
    vfprintf(stderr, fmt, ap);
    va_end(ap);
    fputc('\n', stderr);
    return code;
}

int
bbl_cli_parse_options(int *argc, char ***argv, const GOptionEntry *entries,
                      const char *usage)
{
    GOptionContext *context = g_option_context_new(usage);
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!ok) {
        bbl_cli_print_error(BBL_EXIT_USAGE, "%s", error->message);
        g_error_free(error);
        return BBL_EINVAL;
    }
    return 0;
}

void
bbl_cli_target_free(bbl_cli_target *target)
{
    g_free(target->admin);
    g_free(target->token);
    memset(target, 0, sizeof(*target));
}

int
bbl_cli_read_file(bbl_buf *out, const char *path)
{
    FILE *f = fopen(path, "re");
    char chunk[4096];
    size_t n;

    if (f == NULL) {
        return bbl_error_set(BBL_EINVAL, "%s: %s", path, strerror(errno));
    }
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0) {
        bbl_buf_append(out, chunk, n);
    }
    fclose(f);
    return 0;
}

static size_t
on_body(char *ptr, size_t size, size_t count, void *ctx)
{
    bbl_buf_append(ctx, ptr, size * count);
    return size * count;
}

int
bbl_cli_http_exchange(const char *address, const char *path, const char *token,
                      const bbl_buf *post, long *status, bbl_buf *response)
{
    CURL *easy = curl_easy_init();
    struct curl_slist *headers = NULL;
    char url[URL_MAX];
    char line[URL_MAX];
    CURLcode code;

    if (easy == NULL) {
        return bbl_error_set(BBL_ENET, "curl_easy_init");
    }
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ADDRESS_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
    if (token != NULL) {
        snprintf(line, sizeof(line), "Authorization: Bearer %s", token);
        headers = curl_slist_append(headers, line);
    }
    if (post != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)post->size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, post->ptr ? post->ptr : "");
        headers = curl_slist_append(headers, "Expect:");
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    if (code != CURLE_OK) {
        return bbl_error_set(BBL_ENET, "%s: %s", address,
                             curl_easy_strerror(code));
    }
    return 0;
}

/* Splits a list at its commas, in place; returns the number of parts. */
static size_t
split_addresses(char *list, char **out)
{
    char *save = NULL;
    size_t n = 0;

    for (char *part = strtok_r(list, ",", &save);
         part != NULL && n < ADDRESSES_MAX;
         part = strtok_r(NULL, ",", &save)) {
        out[n++] = part;
    }
    return n;
}

/* Sends the request to each address once until one answers; begins with the
 * address that answered last. */
static int
try_addresses(char **addresses, size_t count, const char *path,
              const char *token, const bbl_buf *post, long *status,
              bbl_buf *response)
{
    static size_t last_answered;
    int error = BBL_ENET;

    for (size_t i = 0; i < count; i++) {
        size_t next = (last_answered + i) % count;

        bbl_buf_clear(response);
        *status = 0;
        error = bbl_cli_http_exchange(addresses[next], path, token, post,
                                      status, response);
        if (error == 0 && *status != STATUS_MISDIRECTED) {
            last_answered = next;
            return 0;
        }
    }
    return error != 0 ? error
                      : bbl_error_set(BBL_ENOTLEADER,
                                      "no address given is the leader");
}

int
bbl_cli_send_request(const bbl_cli_target *target, const char *path,
                     const bbl_buf *post, long *status, bbl_buf *response)
{
    const char *list =
        target->admin ? target->admin : getenv("BAOBABLATCH_ADMIN");
    const char *token =
        target->token ? target->token : getenv("BAOBABLATCH_OPERATOR_TOKEN");
    bbl_usec until = bbl_clock_now() + REQUEST_TIMEOUT_US;
    char *addresses[ADDRESSES_MAX];
    char *copy;
    size_t count;
    int error;

    if (list == NULL) {
        return bbl_error_set(BBL_EINVAL,
                             "give --admin or set BAOBABLATCH_ADMIN");
    }
    copy = bbl_memdup(list, strlen(list));
    count = split_addresses(copy, addresses);
    error =
        try_addresses(addresses, count, path, token, post, status, response);
    while (error != 0 && bbl_clock_now() < until) {
        usleep(ROUND_PAUSE_US);
        error = try_addresses(addresses, count, path, token, post, status,
                              response);
    }
    free(copy);
    return error;
}

char *
bbl_cli_describe_setting(const bbl_setting *s)
{
    return g_strdup_printf("%s; %s%s%s; default %s; %s", s->help, s->range,
                           s->unit[0] ? " " : "", s->unit,
                           s->default_value == NULL      ? "none, required"
                           : s->default_value[0] == '\0' ? "unset"
                                                         : s->default_value,
                           s->variable);
}
