/*
 * cli.h - the subcommands of the `baobablatch` binary and what they share.
 */
#ifndef BBL_CLI_H
#define BBL_CLI_H

#include <glib.h>

#include "daemon/settings.h"
#include "util/buf.h"

/* Exit codes of every subcommand. */
typedef enum {
    BBL_EXIT_OK = 0,
    BBL_EXIT_FAILED = 1, /* it was refused or could not be done */
    BBL_EXIT_USAGE = 2,  /* the command line or a setting is wrong */
    BBL_EXIT_UNKNOWN = 3 /* it may have been done: send it again */
} bbl_exit_code;

/* One subcommand. */
typedef struct {
    const char *name;
    const char *summary;
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

/* Where operators' commands go, from flags and environment. */
typedef struct {
    char *admin; /* one or more a.b.c.d:port, separated by commas */
    char *token; /* NULL: none */
} bbl_cli_target;

/* The GLib option rows of a target; end them in a table with NULL. */
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
 * Sends one HTTP request to a single address.
 *
 * @param status set to the HTTP status
 * @return 0, or BBL_ENET
 */
int bbl_cli_http_exchange(const char *address, const char *path,
                          const char *token, const bbl_buf *post, long *status,
                          bbl_buf *reply);

/*
 * Sends a request to the target's addresses in turn until one that can
 * answer does (one that is not the leader says so), for 8 s at most. Every
 * request of the subcommands may be sent twice.
 */
int bbl_cli_send_request(const bbl_cli_target *target, const char *path,
                         const bbl_buf *post, long *status, bbl_buf *reply);

/*
 * Parses the options of a subcommand; prints what is wrong.
 *
 * @param usage what follows the options in the usage line
 * @return 0 or BBL_EINVAL
 */
int bbl_cli_parse_options(int *argc, char ***argv, const GOptionEntry *entries,
                          const char *usage);

/* Reads a whole file. */
int bbl_cli_read_file(bbl_buf *out, const char *path);

/* Prints "baobablatch: message" to standard error and returns `code`. */
int bbl_cli_print_error(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns the help text of a setting; free it with g_free. */
char *bbl_cli_describe_setting(const bbl_setting *setting);

#endif
