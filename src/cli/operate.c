#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "util/clock.h"

#define VOTER_WAIT_US 30000000  /* for a new voter to catch up */
#define VOTER_INSIST_US 5000000 /* while a change is refused */
#define VOTER_POLL_US 100000

static int
parse(int *argc, char ***argv, bbl_cli_target *target, const char *usage)
{
    GOptionEntry entries[] = {BBL_CLI_TARGET_OPTIONS(target), {NULL}};

    return bbl_cli_parse_options(argc, argv, entries, usage);
}

/* Sends a request and prints the reply. */
static int
ask(const bbl_cli_target *target, const char *path, const bbl_buf *post)
{
    bbl_buf reply = BBL_BUF_INIT;
    long status = 0;
    int code = BBL_EXIT_OK;

    if (bbl_cli_send_request(target, path, post, &status, &reply) != 0) {
        code = bbl_cli_print_error(BBL_EXIT_FAILED, "%s", bbl_error_last());
    }
    else {
        fputs(reply.ptr ? reply.ptr : "", stdout);
        code = status == 200 ? BBL_EXIT_OK : BBL_EXIT_FAILED;
    }
    bbl_buf_free(&reply);
    return code;
}

int
bbl_cli_status(int argc, char **argv)
{
    bbl_cli_target target = {0};

    if (parse(&argc, &argv, &target, "- show the status of a daemon") != 0) {
        return BBL_EXIT_USAGE;
    }
    return ask(&target, "/v1/admin/status", NULL);
}

int
bbl_cli_dump(int argc, char **argv)
{
    bbl_cli_target target = {0};

    if (parse(&argc, &argv, &target, "- dump the state of a daemon") != 0) {
        return BBL_EXIT_USAGE;
    }
    return ask(&target, "/v1/state", NULL);
}

int
bbl_cli_drain(int argc, char **argv)
{
    bbl_cli_target target = {0};
    bbl_buf empty = BBL_BUF_INIT;

    if (parse(&argc, &argv, &target, "- shut a daemon down gracefully") != 0) {
        return BBL_EXIT_USAGE;
    }
    return ask(&target, "/v1/admin/drain", &empty);
}

/* ---- voters ---- */

/* Sends one voter change; returns the exit code and fills the reply. */
static int
send_voter(const bbl_cli_target *target, const char *op, const char *host,
           const char *address, bbl_buf *reply)
{
    bbl_buf post = BBL_BUF_INIT;
    long status = 0;
    int code = BBL_EXIT_FAILED;

    bbl_buf_printf(&post, "{\"op\":\"%s\",\"host\":%d,\"address\":\"%s\"}", op,
                   atoi(host), address);
    bbl_buf_clear(reply);
    if (bbl_cli_send_request(target, "/v1/admin/voters", &post, &status,
                             reply) != 0) {
        bbl_buf_printf(reply, "baobablatch: %s\n", bbl_error_last());
    }
    else if (status == 200) {
        code = BBL_EXIT_OK;
    }
    bbl_buf_free(&post);
    return code;
}

/*
 * Repeats a voter change that is refused for a while: the leader may not
 * have noticed yet that a host is gone or back.
 */
static int
insist_voter(const bbl_cli_target *target, const char *op, const char *host,
             const char *address)
{
    bbl_usec until = bbl_clock_now() + VOTER_INSIST_US;
    bbl_buf reply = BBL_BUF_INIT;
    int code = send_voter(target, op, host, address, &reply);

    while (code != BBL_EXIT_OK && bbl_clock_now() < until) {
        usleep(VOTER_POLL_US);
        code = send_voter(target, op, host, address, &reply);
    }
    fputs(reply.ptr ? reply.ptr : "", stdout);
    bbl_buf_free(&reply);
    return code;
}

/* Returns whether the status shows a host as a full voter. */
static bool
is_voter(const bbl_cli_target *target, int host)
{
    bbl_buf reply = BBL_BUF_INIT;
    long status = 0;
    json_t *root = NULL;
    json_t *row;
    size_t i;
    bool found = false;

    if (bbl_cli_send_request(target, "/v1/admin/status", NULL, &status,
                             &reply) == 0) {
        root = json_loadb(reply.ptr, reply.size, 0, NULL);
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
    bbl_buf_free(&reply);
    return found;
}

static int
wait_voter(const bbl_cli_target *target, int host)
{
    bbl_usec until = bbl_clock_now() + VOTER_WAIT_US;

    while (bbl_clock_now() < until) {
        if (is_voter(target, host)) {
            printf("host %d is a voter\n", host);
            return BBL_EXIT_OK;
        }
        usleep(VOTER_POLL_US);
    }
    return bbl_cli_print_error(BBL_EXIT_UNKNOWN, "host %d still catches up",
                               host);
}

static int
add_voter(const bbl_cli_target *target, const char *host, const char *address)
{
    int code = insist_voter(target, "add", host, address);

    /* The learner shows in the status a moment after it was accepted. */
    usleep(VOTER_POLL_US);
    return code == BBL_EXIT_OK ? wait_voter(target, atoi(host)) : code;
}

int
bbl_cli_voter(int argc, char **argv)
{
    bbl_cli_target target = {0};
    int code;

    if (parse(&argc, &argv, &target,
              "add HOST ADDRESS | remove HOST | replace OLD NEW ADDRESS") !=
        0) {
        return BBL_EXIT_USAGE;
    }
    if (argc == 4 && strcmp(argv[1], "add") == 0) {
        return add_voter(&target, argv[2], argv[3]);
    }
    if (argc == 3 && strcmp(argv[1], "remove") == 0) {
        return insist_voter(&target, "remove", argv[2], "");
    }
    if (argc == 5 && strcmp(argv[1], "replace") == 0) {
        /* The old voter leaves only after the new one holds everything. */
        code = add_voter(&target, argv[3], argv[4]);
        if (code == BBL_EXIT_OK && strcmp(argv[2], argv[3]) != 0) {
            code = insist_voter(&target, "remove", argv[2], "");
        }
        return code;
    }
    return bbl_cli_print_error(BBL_EXIT_USAGE,
                               "voter add HOST ADDRESS | remove "
                               "HOST | replace OLD NEW ADDRESS");
}

/* ---- a query, for trying out ---- */

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
    bbl_buf reply = BBL_BUF_INIT;
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
                              &reply) != 0) {
        bbl_cli_print_error(code, "%s", bbl_error_last());
    }
    else {
        fputs(reply.ptr ? reply.ptr : "", stdout);
        code = status == 200 ? BBL_EXIT_OK : BBL_EXIT_FAILED;
    }
    bbl_buf_free(&post);
    bbl_buf_free(&reply);
    g_free(address);
    return code;
}
