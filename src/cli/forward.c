#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "daemon/node.h"
#include "platform/dialect.h"
#include "util/log.h"

#define FILE_VARIABLE "BAOBABLATCH_SETTINGS"
#define FLAGS_MAX 64

typedef struct {
    char *values[FLAGS_MAX];
    const char *file;
} forward_flags;

static const char *
flag_value(void *ctx, const char *flag)
{
    forward_flags *f = ctx;

    for (size_t i = 0; bbl_node_settings[i].flag != NULL; i++) {
        if (strcmp(bbl_node_settings[i].flag, flag) == 0) {
            return f->values[i];
        }
    }
    return NULL;
}

static int
reread(bbl_node_options *out, void *ctx)
{
    forward_flags *f = ctx;

    return bbl_node_options_read(out, flag_value, f, f->file);
}

int
bbl_cli_forward(int argc, char **argv)
{
    GOptionEntry entries[FLAGS_MAX + 2] = {0};
    forward_flags flags = {{0}, NULL};
    char *file = NULL;
    bbl_node_options options;
    size_t n = 0;
    int code = BBL_EXIT_OK;

    for (; bbl_node_settings[n].flag != NULL; n++) {
        entries[n].long_name = bbl_node_settings[n].flag;
        entries[n].arg = G_OPTION_ARG_STRING;
        entries[n].arg_data = &flags.values[n];
        entries[n].description =
            bbl_cli_describe_setting(&bbl_node_settings[n]);
        entries[n].arg_description = "VALUE";
    }
    entries[n] = (GOptionEntry){"settings", 's',
                                0,          G_OPTION_ARG_STRING,
                                &file,      "settings file; " FILE_VARIABLE,
                                "FILE"};
    if (bbl_cli_parse_options(&argc, &argv, entries,
                              "- run a daemon that forwards requests") != 0) {
        return BBL_EXIT_USAGE;
    }
    flags.file = file != NULL ? file : getenv(FILE_VARIABLE);
    if (reread(&options, &flags) != 0) {
        return bbl_cli_print_error(BBL_EXIT_USAGE, "%s", bbl_error_last());
    }
    if (bbl_node_run(&options, bbl_platform_dialect(), reread, &flags) != 0) {
        code = bbl_cli_print_error(BBL_EXIT_FAILED, "%s", bbl_error_last());
    }
    bbl_node_options_free(&options);
    for (size_t i = 0; i < n; i++) {
        g_free((char *)entries[i].description);
        g_free(flags.values[i]);
    }
    g_free(file);
    return code;
}
