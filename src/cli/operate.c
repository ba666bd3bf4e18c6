#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "util/clock.h"

#define CATCH_UP_TIMEOUT_US 30000000 /* for a new voter */
#define REFUSAL_RETRY_US 5000000     /* of a refused voter change */
#define POLL_INTERVAL_US 100000

static int
parse_target(int *argc, char ***argv, bbl_cli_target *target,
             const char *usage)
{
    GOptionEntry entries[] = {BBL_CLI_TARGET_OPTIONS(target), {NULL}};

    return bbl_cli_parse_options(argc, argv, entries, usage);
}

/* Sends a request and prints the response body; returns the exit code. */
static int
send_and_print(const bbl_cli_target *target, const char *path,
               const bbl_buf *post)
{
    bbl_buf response = BBL_BUF_INIT;
    long status = 0;
    int code = BBL_EXIT_OK;

    if (bbl_cli_send_request(target, path, post, &status, &response) != 0) {
        code = bbl_cli_print_error(BBL_EXIT_FAILED, "%s", bbl_error_last());
    }
    else {
        fputs(response.ptr ? response.ptr : "", stdout);
        code = status == 200 ? BBL_EXIT_OK : BBL_EXIT_FAILED;
    }
    bbl_buf_free(&response);
    return code;
}

/* Runs a command that consists of one request; returns the exit code. */
static int
request_and_print(int argc, char **argv, const char *usage, const char *path,
                  const bbl_buf *post)
{
    bbl_cli_target target = {0};
    int code = BBL_EXIT_USAGE;

    if (parse_target(&argc, &argv, &target, usage) == 0) {
        code = send_and_print(&target, path, post);
    }
    bbl_cli_target_free(&target);
    return code;
}

int
bbl_cli_status(int argc, char **argv)
{
    return request_and_print(argc, argv, "- show the status of a daemon",
                             "/v1/admin/status", NULL);
}

int
bbl_cli_dump(int argc, char **argv)
{
    return request_and_print(argc, argv, "- dump the state of a daemon",
                             "/v1/state", NULL);
}

int
bbl_cli_drain(int argc, char **argv)
{
    bbl_buf empty = BBL_BUF_INIT;

    return request_and_print(argc, argv, "- shut a daemon down gracefully",
                             "/v1/admin/drain", &empty);
}

/* ---- voters ---- */

/* Sends a voter change; sets `response` to what is to be printed and returns
 * the exit code. */
static int
send_voter_change(const bbl_cli_target *target, const char *op,
                  const char *host, const char *address, bbl_buf *response)
{
    bbl_buf post = BBL_BUF_INIT;
    long status = 0;
    int code = BBL_EXIT_FAILED;

    bbl_buf_printf(&post, "{\"op\":\"%s\",\"host\":%d,\"address\":\"%s\"}", op,
                   atoi(host), address);
    bbl_buf_clear(response);
    if (bbl_cli_send_request(target, "/v1/admin/voters", &post, &status,
                             response) != 0) {
        bbl_buf_printf(response, "baobablatch: %s\n", bbl_error_last());
    }
    else if (status == 200) {
        code = BBL_EXIT_OK;
    }
    bbl_buf_free(&post);
    return code;
}

/*
 * Sends a voter change, and repeats it for a while if it is refused: the
 * leader may not have noticed yet that a host has left or has come back.
 * Prints the last response; returns the exit code.
 */
static int
retry_voter_change(const bbl_cli_target *target, const char *op,
                   const char *host, const char *address)
{
    bbl_usec until = bbl_clock_now() + REFUSAL_RETRY_US;
    bbl_buf response = BBL_BUF_INIT;
    int code = send_voter_change(target, op, host, address, &response);

    while (code != BBL_EXIT_OK && bbl_clock_now() < until) {
        usleep(POLL_INTERVAL_US);
        code = send_voter_change(target, op, host, address, &response);
    }
    fputs(response.ptr ? response.ptr : "", stdout);
    bbl_buf_free(&response);
    return code;
}

/* Returns whether the status lists a host as a voter, not as a learner. */
static bool
is_voter(const bbl_cli_target *target, int host)
{
    bbl_buf response = BBL_BUF_INIT;
    long status = 0;
    json_t *root = NULL;
    json_t *row;
    size_t i;
    bool found = false;

    if (bbl_cli_send_request(target, "/v1/admin/status", NULL, &status,
                             &response) == 0) {
        root = json_loadb(response.ptr, response.size, 0, NULL);
    }
    json_array_foreach(json_object_get(root, "voters"), i, row)
    {
        const char *role = json_string_value(json_object_get(row, "role"));

        if (json_integer_value(json_object_get(row, "host")) == host &&
            role != NULL && strcmp(role, "voter") == 0) {
            found = true;
        }
    }
    json_decref(root);
    bbl_buf_free(&response);
    return found;
}

static int
wait_for_voter(const bbl_cli_target *target, int host)
{
    bbl_usec until = bbl_clock_now() + CATCH_UP_TIMEOUT_US;

    while (bbl_clock_now() < until) {
        if (is_voter(target, host)) {
            printf("host %d is a voter\n", host);
            return BBL_EXIT_OK;
        }
        usleep(POLL_INTERVAL_US);
    }
    return bbl_cli_print_error(BBL_EXIT_UNKNOWN,
                               "host %d has not caught up yet", host);
}

static int
add_voter(const bbl_cli_target *target, const char *host, const char *address)
{
    int code = retry_voter_change(target, "add", host, address);

    /* The status lists a new learner shortly after the change was accepted. */
    usleep(POLL_INTERVAL_US);
    return code == BBL_EXIT_OK ? wait_for_voter(target, atoi(host)) : code;
}

static int
change_voters(const bbl_cli_target *target, int argc, char **argv)
{
    int code;

    if (argc == 4 && strcmp(argv[1], "add") == 0) {
        return add_voter(target, argv[2], argv[3]);
    }
    if (argc == 3 && strcmp(argv[1], "remove") == 0) {
        return retry_voter_change(target, "remove", argv[2], "");
    }
    if (argc == 5 && strcmp(argv[1], "replace") == 0) {
        /* The old voter is removed only after the new one has caught up. */
        code = add_voter(target, argv[3], argv[4]);
        if (code == BBL_EXIT_OK && strcmp(argv[2], argv[3]) != 0) {
            code = retry_voter_change(target, "remove", argv[2], "");
        }
        return code;
    }
    return bbl_cli_print_error(BBL_EXIT_USAGE,
                               "voter add HOST ADDRESS | remove "
                               "HOST | replace OLD NEW ADDRESS");
}

int
bbl_cli_voter(int argc, char **argv)
{
    bbl_cli_target target = {0};
    int code = BBL_EXIT_USAGE;

    if (parse_target(
            &argc, &argv, &target,
            "add HOST ADDRESS | remove HOST | replace OLD NEW ADDRESS") == 0) {
        code = change_voters(&target, argc, argv);
    }
    bbl_cli_target_free(&target);
    return code;
}

/* ---- query ---- */

int
bbl_cli_query(int argc, char **argv)
{
    char *address = NULL;
    GOptionEntry entries[] = {
        {"http", 'h', 0, G_OPTION_ARG_STRING, &address,
         "caller address of a daemon", "ADDRESS"},
        {NULL},
    };
    bbl_buf post = BBL_BUF_INIT;
    bbl_buf response = BBL_BUF_INIT;
    long status = 0;
    int code = BBL_EXIT_FAILED;

    if (bbl_cli_parse_options(&argc, &argv, entries,
                              "JSON - send one query body") != 0) {
        return BBL_EXIT_USAGE;
    }
    if (argc != 2 || address == NULL) {
        return bbl_cli_print_error(BBL_EXIT_USAGE,
                                   "query --http ADDRESS JSON");
    }
    bbl_buf_append_cstr(&post, argv[1]);
    if (bbl_cli_http_exchange(address, "/v1/query", NULL, &post, &status,
                              &response) != 0) {
        bbl_cli_print_error(code, "%s", bbl_error_last());
    }
    else {
        fputs(response.ptr ? response.ptr : "", stdout);
        code = status == 200 ? BBL_EXIT_OK : BBL_EXIT_FAILED;
    }
    bbl_buf_free(&post);
    bbl_buf_free(&response);
    g_free(address);
    return code;
}
