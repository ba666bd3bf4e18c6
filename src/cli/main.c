/*
 * main.c - the `baobablatch` binary: runs the subcommand that its first
 * argument names.
 */
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

#ifndef BBL_VERSION
#define BBL_VERSION "0.1.0"
#endif

static const bbl_cli_command commands[] = {
    {"serve", "run a daemon", bbl_cli_serve},
    {"forward", "run a daemon that forwards requests", bbl_cli_forward},
    {"init", "create the journal of the first voter of a cluster",
     bbl_cli_init},
    {"lists", "check, show, diff or apply the two lists", bbl_cli_lists},
    {"status", "show the status of a daemon", bbl_cli_status},
    {"dump", "dump the complete state of a daemon", bbl_cli_dump},
    {"drain", "shut a daemon down gracefully", bbl_cli_drain},
    {"voter", "add, remove or replace a voter", bbl_cli_voter},
    {"query", "send one query", bbl_cli_query},
    {"explain", "explain from logs why a request ended as it did",
     bbl_cli_explain},
    {"check", "review a routing before it is sent", bbl_cli_check},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_help(FILE *out)
{
    fputs("usage: baobablatch COMMAND [OPTION...]\n\ncommands:\n", out);
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].summary);
    }
    fputs("\n`baobablatch COMMAND --help` shows the options of a command.\n",
          out);
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_help(stderr);
        return BBL_EXIT_USAGE;
    }
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--version") == 0) {
            puts("baobablatch " BBL_VERSION);
            return BBL_EXIT_OK;
        }
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
        print_help(stdout);
        return BBL_EXIT_OK;
    }
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    return bbl_cli_print_error(BBL_EXIT_USAGE, "no command %s; see --help",
                               argv[1]);
}
