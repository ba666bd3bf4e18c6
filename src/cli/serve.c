#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "control/disk.h"
#include "control/quorum.h"
#include "daemon/daemon.h"
#include "util/log.h"

#define SETTINGS_MAX 64

typedef struct {
    char *values[SETTINGS_MAX];
} flag_values;

static const char *
flag_value(void *ctx, const char *flag)
{
    flag_values *v = ctx;

    for (size_t i = 0; bbl_daemon_setting_at(i) != NULL; i++) {
        if (strcmp(bbl_daemon_setting_at(i)->flag, flag) == 0) {
            return v->values[i];
        }
    }
    return NULL;
}

static int
parse_flags(int argc, char **argv, flag_values *values)
{
    GOptionEntry entries[SETTINGS_MAX + 1] = {0};
    GOptionContext *context = g_option_context_new("- run a daemon");
    GError *error = NULL;
    size_t n = 0;
    bool ok;

    for (; bbl_daemon_setting_at(n) != NULL; n++) {
        entries[n].long_name = bbl_daemon_setting_at(n)->flag;
        entries[n].arg = G_OPTION_ARG_STRING;
        entries[n].arg_data = &values->values[n];
        entries[n].description =
            bbl_cli_describe_setting(bbl_daemon_setting_at(n));
        entries[n].arg_description = "VALUE";
    }
    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, &error);
    if (ok && argc > 1) {
        ok = false;
        error = g_error_new(G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                            "unexpected argument %s", argv[1]);
    }
    g_option_context_free(context);
    for (size_t i = 0; i < n; i++) {
        g_free((char *)entries[i].description);
    }
    if (!ok) {
        bbl_error_set(BBL_EINVAL, "%s", error->message);
        g_error_free(error);
        return BBL_EINVAL;
    }
    return 0;
}

int
bbl_cli_serve(int argc, char **argv)
{
    flag_values values = {{0}};
    bbl_daemon_options options;
    int error;
    int code = BBL_EXIT_OK;

    memset(&options, 0, sizeof(options));
    error = parse_flags(argc, argv, &values);
    if (error == 0) {
        error = bbl_daemon_options_read(&options, flag_value, &values);
    }
    if (error != 0) {
        code = bbl_cli_print_error(BBL_EXIT_USAGE, "%s", bbl_error_last());
        goto done;
    }
    if (bbl_daemon_run(&options) != 0) {
        bbl_log(BBL_EV_FATAL, "reason=\"%s\"", bbl_error_last());
        code = BBL_EXIT_FAILED;
    }

done:
    bbl_daemon_options_free(&options);
    for (size_t i = 0; i < SETTINGS_MAX; i++) {
        g_free(values.values[i]);
    }
    return code;
}

int
bbl_cli_init(int argc, char **argv)
{
    char *folder = NULL;
    int host = 0;
    GOptionEntry entries[] = {
        {"data-dir", 'd', 0, G_OPTION_ARG_STRING, &folder,
         "data folder to make", "FOLDER"},
        {"host-id", 'i', 0, G_OPTION_ARG_INT, &host, "number of this host",
         "N"},
        {NULL},
    };
    bbl_disk *disk;
    int error;

    if (bbl_cli_parse_options(&argc, &argv, entries,
                              "- make the journal of a founding voter") != 0) {
        return BBL_EXIT_USAGE;
    }
    if (folder == NULL || host <= 0) {
        return bbl_cli_print_error(BBL_EXIT_USAGE,
                                   "give --data-dir and --host-id");
    }
    error = bbl_disk_open(&disk, folder);
    if (error == 0) {
        error = bbl_quorum_bootstrap(disk, (uint32_t)host);
    }
    g_free(folder);
    if (error != 0) {
        return bbl_cli_print_error(BBL_EXIT_FAILED, "%s", bbl_error_last());
    }
    return BBL_EXIT_OK;
}
