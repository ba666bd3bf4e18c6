#include <stdarg.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "util/alloc.h"

#define REQUEST_TIMEOUT_MS 6000L
#define STATUS_MISDIRECTED 421
#define URL_MAX 256

int
bbl_cli_fail(int code, const char *fmt, ...)
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
bbl_cli_read_file(bbl_buf *out, const char *path)
{
    FILE *f = fopen(path, "re");
    char chunk[4096];
    size_t n;

    if (f == NULL) {
        return bbl_error_set(BBL_EINVAL, "%s: %s", path, strerror(errno));
    }
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0) {
        bbl_buf_put(out, chunk, n);
    }
    fclose(f);
    return 0;
}

static size_t
on_body(char *ptr, size_t size, size_t count, void *ctx)
{
    bbl_buf_put(ctx, ptr, size * count);
    return size * count;
}

int
bbl_cli_http(const char *address, const char *path, const char *token,
             const bbl_buf *post, long *status, bbl_buf *reply)
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
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
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

int
bbl_cli_request(const bbl_target *target, const char *path,
                const bbl_buf *post, long *status, bbl_buf *reply)
{
    const char *list =
        target->admin ? target->admin : getenv("BAOBABLATCH_ADMIN");
    const char *token =
        target->token ? target->token : getenv("BAOBABLATCH_OPERATOR_TOKEN");
    char *copy;
    char *save = NULL;
    int error = BBL_ENET;

    if (list == NULL) {
        return bbl_error_set(BBL_EINVAL,
                             "give --admin or set BAOBABLATCH_ADMIN");
    }
    copy = bbl_memdup(list, strlen(list));
    for (char *part = strtok_r(copy, ",", &save); part != NULL;
         part = strtok_r(NULL, ",", &save)) {
        bbl_buf_clear(reply);
        *status = 0;
        error = bbl_cli_http(part, path, token, post, status, reply);
        if (error == 0 && *status != STATUS_MISDIRECTED) {
            break;
        }
    }
    free(copy);
    if (error == 0 && *status == STATUS_MISDIRECTED) {
        error = bbl_error_set(BBL_ELEADER, "no address given is the leader");
    }
    return error;
}
