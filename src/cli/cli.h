/*
 * cli.h - the subcommands of the `baobablatch` binary and the functions that
 * they share. Functions that return a negative error also set the message of
 * bbl_error_last; only bbl_cli_parse_options prints it instead.
 */
#ifndef BBL_CLI_H
#define BBL_CLI_H

#include <glib.h>

#include "daemon/settings.h"
#include "util/buf.h"

/* Exit codes of every subcommand. */
typedef enum {
    BBL_EXIT_OK = 0,
    BBL_EXIT_FAILED = 1, /* the operation was refused or failed */
    BBL_EXIT_USAGE = 2,  /* the command line or a setting is invalid */
    BBL_EXIT_UNKNOWN = 3 /* unknown outcome; the command can be repeated */
} bbl_exit_code;

/* One subcommand. */
typedef struct {
    const char *name;
    const char *summary;
    /* Runs it; `argv` begins with its name. Returns an exit code. */
    int (*run)(int argc, char **argv);
} bbl_cli_command;

int bbl_cli_serve(int argc, char **argv);
int bbl_cli_forward(int argc, char **argv);
int bbl_cli_init(int argc, char **argv);
int bbl_cli_lists(int argc, char **argv);
int bbl_cli_status(int argc, char **argv);
int bbl_cli_dump(int argc, char **argv);
int bbl_cli_drain(int argc, char **argv);
int bbl_cli_voter(int argc, char **argv);
int bbl_cli_query(int argc, char **argv);
int bbl_cli_explain(int argc, char **argv);
int bbl_cli_check(int argc, char **argv);

/* Where to send operator commands. A flag that is not given leaves its field
 * NULL, and the environment variable counts instead. */
typedef struct {
    char *admin; /* a.b.c.d:port,... */
    char *token; /* operator token */
} bbl_cli_target;

/* Frees the strings that the options have set. */
void bbl_cli_target_free(bbl_cli_target *target);

/* The rows of a target in a GLib option table, which ends with {NULL}. */
#define BBL_CLI_TARGET_OPTIONS(target)                                        \
    {"admin",                                                                 \
     'a',                                                                     \
     0,                                                                       \
     G_OPTION_ARG_STRING,                                                     \
     &(target)->admin,                                                        \
     "admin addresses, or BAOBABLATCH_ADMIN",                                 \
     "ADDRESS,..."},                                                          \
    {                                                                         \
        "token", 't', 0, G_OPTION_ARG_STRING, &(target)->token,               \
            "operator token, or BAOBABLATCH_OPERATOR_TOKEN", "TOKEN"          \
    }

/*
 * Sends one HTTP request to an address.
 *
 * @param token    operator token, or NULL
 * @param post     body of a POST request; NULL: send a GET request
 * @param status   set to the HTTP status
 * @param response the response body is appended to it
 * @return 0, or BBL_ENET if the exchange failed or took longer than 1.2 s
 */
int bbl_cli_http_exchange(const char *address, const char *path,
                          const char *token, const bbl_buf *post, long *status,
                          bbl_buf *response);

/*
 * Sends a request to the addresses of a target in turn, for at most 8 s, until
 * one of them answers; status 421 of a host that is not the leader is not an
 * answer. The request may be executed more than once, which is safe for every
 * request of the subcommands.
 *
 * The parameters are those of bbl_cli_http_exchange.
 *
 * @return 0, BBL_EINVAL without an address, BBL_ENET or BBL_ENOTLEADER
 */
int bbl_cli_send_request(const bbl_cli_target *target, const char *path,
                         const bbl_buf *post, long *status, bbl_buf *response);

/*
 * Parses the options of a subcommand and removes them from `argv`. Prints a
 * message if they are invalid.
 *
 * @param entries option table, which ends with {NULL}
 * @param usage   text after the options in the usage line
 * @return 0 or BBL_EINVAL
 */
int bbl_cli_parse_options(int *argc, char ***argv, const GOptionEntry *entries,
                          const char *usage);

/* Appends the contents of a file to `out`; returns 0 or BBL_EINVAL. */
int bbl_cli_read_file(bbl_buf *out, const char *path);

/* Prints "baobablatch: message" to standard error and returns `code`. */
int bbl_cli_print_error(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns the help text of a setting; the caller frees it with g_free. */
char *bbl_cli_describe_setting(const bbl_setting *setting);

#endif
