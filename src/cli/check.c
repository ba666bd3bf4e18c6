/* The subcommand `check`: a review of a routing document before it is sent. */
#include <stdio.h>

#include "bbl/errors.h"
#include "cli/cli.h"
#include "model/routing_review.h"
#include "platform/dialect.h"

static void
print_finding(void *ctx, const char *text)
{
    printf("%s: %s\n", (const char *)ctx, text);
}

/* Reads and validates a document; returns an error number. */
static int
read_routing(bbl_routing **out, const char *path)
{
    bbl_buf document = BBL_BUF_INIT;
    int error = bbl_cli_read_file(&document, path);

    *out = NULL;
    if (error == 0) {
        error =
            bbl_platform_dialect()->read_routing(out, bbl_buf_str(&document));
    }
    if (error == 0) {
        error = bbl_routing_check(*out);
    }
    bbl_buf_free(&document);
    return error;
}

int
bbl_cli_check(int argc, char **argv)
{
    char *against = NULL;
    GOptionEntry entries[] = {
        {"against", 'g', 0, G_OPTION_ARG_FILENAME, &against,
         "document in force, as an operator's read returns it", "FILE"},
        {NULL},
    };
    bbl_review_sink warnings = {print_finding, "warning"};
    bbl_review_sink changes = {print_finding, "change"};
    bbl_routing *routing = NULL;
    bbl_routing *before = NULL;
    int code = BBL_EXIT_OK;

    if (bbl_cli_parse_options(&argc, &argv, entries,
                              "FILE - review a routing before it is sent") !=
        0) {
        return BBL_EXIT_USAGE;
    }
    if (argc != 2) {
        code = bbl_cli_print_error(BBL_EXIT_USAGE, "one file is needed");
        goto done;
    }
    if (read_routing(&routing, argv[1]) != 0) {
        code = bbl_cli_print_error(BBL_EXIT_FAILED, "%s: %s", argv[1],
                                   bbl_error_last());
        goto done;
    }
    if (bbl_routing_review(routing, &warnings) > 0) {
        code = BBL_EXIT_FAILED;
    }
    if (against == NULL) {
        goto done;
    }
    if (read_routing(&before, against) != 0) {
        code = bbl_cli_print_error(BBL_EXIT_USAGE, "%s: %s", against,
                                   bbl_error_last());
        goto done;
    }
    bbl_routing_compare(before, routing, &changes);
    if (bbl_routing_version(routing) <= bbl_routing_version(before)) {
        printf(
            "warning: version %llu is not higher than %llu: it would change "
            "nothing\n",
            (unsigned long long)bbl_routing_version(routing),
            (unsigned long long)bbl_routing_version(before));
        code = BBL_EXIT_FAILED;
    }
done:
    bbl_routing_free(routing);
    bbl_routing_free(before);
    g_free(against);
    return code;
}
