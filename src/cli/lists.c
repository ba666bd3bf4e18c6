#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "bbl/errors.h"
#include "bbl/lists.h"
#include "cli/cli.h"
#include "util/clock.h"

#define POLL_INTERVAL_US 20000       /* of the wait until in force */
#define IN_FORCE_TIMEOUT_US 10000000 /* of this wait */

typedef struct {
    bbl_cli_target target;
    char *change;
    gint64 expected;
    gboolean no_wait;
} lists_flags;

static int
parse_flags(int *argc, char ***argv, lists_flags *f, const char *usage)
{
    GOptionEntry entries[] = {
        BBL_CLI_TARGET_OPTIONS(&f->target),
        {"expected", 'e', 0, G_OPTION_ARG_INT64, &f->expected,
         "version that the change replaces", "N"},
        {"change", 'c', 0, G_OPTION_ARG_STRING, &f->change,
         "change id; give the same one to send a change again", "ID"},
        {"no-wait", 0, 0, G_OPTION_ARG_NONE, &f->no_wait,
         "do not wait until the change is in force", NULL},
        {NULL},
    };

    f->expected = -1;
    return bbl_cli_parse_options(argc, argv, entries, usage);
}

static void
free_flags(lists_flags *f)
{
    bbl_cli_target_free(&f->target);
    g_free(f->change);
}

static int
read_list_files(char **argv, bbl_buf *plans, bbl_buf *allowances)
{
    int error = bbl_cli_read_file(plans, argv[0]);

    return error ? error : bbl_cli_read_file(allowances, argv[1]);
}

/*
 * Returns the path of the document that an error message of bbl_lists_parse
 * begins with, or an empty string. Sets `rest` to the message without the name
 * of the document.
 */
static const char *
get_named_file(const char **rest, const char *message, char **argv)
{
    static const char *const documents[] = {"plans:", "allowances:"};

    for (int i = 0; i < 2; i++) {
        size_t size = strlen(documents[i]);

        if (strncmp(message, documents[i], size) == 0) {
            *rest = message + size - 1;
            return argv[i];
        }
    }
    *rest = message;
    return "";
}

static int
check_lists(int argc, char **argv)
{
    bbl_buf plans = BBL_BUF_INIT;
    bbl_buf allowances = BBL_BUF_INIT;
    bbl_lists *lists = NULL;
    const char *rest;
    const char *file;
    int code = BBL_EXIT_OK;

    if (argc != 3) {
        return bbl_cli_print_error(BBL_EXIT_USAGE,
                                   "lists check PLANS-FILE ALLOWANCES-FILE");
    }
    if (read_list_files(argv + 1, &plans, &allowances) != 0 ||
        bbl_lists_parse(&lists, bbl_buf_str(&plans),
                        bbl_buf_str(&allowances)) != 0) {
        file = get_named_file(&rest, bbl_error_last(), argv + 1);
        code = bbl_cli_print_error(BBL_EXIT_FAILED, "%s%s", file, rest);
    }
    else {
        printf("good: %zu plans\n", bbl_lists_plan_count(lists));
    }
    bbl_lists_free(lists);
    bbl_buf_free(&plans);
    bbl_buf_free(&allowances);
    return code;
}

static json_t *
fetch_lists(const bbl_cli_target *target)
{
    bbl_buf response = BBL_BUF_INIT;
    long status = 0;
    json_t *root = NULL;

    if (bbl_cli_send_request(target, "/v1/admin/lists", NULL, &status,
                             &response) != 0 ||
        status != 200) {
        bbl_cli_print_error(BBL_EXIT_FAILED, "%s",
                            status ? response.ptr : bbl_error_last());
    }
    else {
        root = json_loadb(response.ptr, response.size, 0, NULL);
    }
    bbl_buf_free(&response);
    return root;
}

static const char *
get_text(const json_t *root, const char *key)
{
    const char *text = json_string_value(json_object_get(root, key));

    return text ? text : "";
}

static int
show_lists(int argc, char **argv)
{
    lists_flags f = {0};
    json_t *root;

    if (parse_flags(&argc, &argv, &f, "- show the lists in force") != 0) {
        return BBL_EXIT_USAGE;
    }
    root = fetch_lists(&f.target);
    free_flags(&f);
    if (root == NULL) {
        return BBL_EXIT_FAILED;
    }
    printf("# version %lld\n# plans\n%s# allowances\n%s",
           (long long)json_integer_value(json_object_get(root, "version")),
           get_text(root, "plans"), get_text(root, "allowances"));
    json_decref(root);
    return BBL_EXIT_OK;
}

/* Prints the lines of `a` that are missing in `b`, each after `mark`; returns
 * whether there are any. */
static bool
print_missing(const char *a, const char *b, char mark, const char *file)
{
    char **left = g_strsplit(a, "\n", -1);
    char **right = g_strsplit(b, "\n", -1);
    bool any = false;

    for (char **l = left; *l != NULL; l++) {
        if ((*l)[0] != '\0' &&
            !g_strv_contains((const char *const *)right, *l)) {
            printf("%c %s: %s\n", mark, file, *l);
            any = true;
        }
    }
    g_strfreev(left);
    g_strfreev(right);
    return any;
}

static int
diff_lists(int argc, char **argv)
{
    lists_flags f = {0};
    bbl_buf plans = BBL_BUF_INIT;
    bbl_buf allowances = BBL_BUF_INIT;
    json_t *root = NULL;
    bool differs;

    if (parse_flags(&argc, &argv, &f,
                    "PLANS ALLOWANCES - compare with the tier") != 0 ||
        argc != 3) {
        return bbl_cli_print_error(BBL_EXIT_USAGE,
                                   "lists diff PLANS-FILE ALLOWANCES-FILE");
    }
    if (read_list_files(argv + 1, &plans, &allowances) != 0) {
        return bbl_cli_print_error(BBL_EXIT_FAILED, "%s", bbl_error_last());
    }
    root = fetch_lists(&f.target);
    free_flags(&f);
    if (root == NULL) {
        bbl_buf_free(&plans);
        bbl_buf_free(&allowances);
        return BBL_EXIT_FAILED;
    }
    bbl_buf_append(&plans, "", 0);
    bbl_buf_append(&allowances, "", 0);
    differs = print_missing(get_text(root, "plans"), plans.ptr, '-', "plans");
    differs |= print_missing(plans.ptr, get_text(root, "plans"), '+', "plans");
    differs |= print_missing(get_text(root, "allowances"), allowances.ptr, '-',
                             "allowances");
    differs |= print_missing(allowances.ptr, get_text(root, "allowances"), '+',
                             "allowances");
    json_decref(root);
    bbl_buf_free(&plans);
    bbl_buf_free(&allowances);
    return differs ? BBL_EXIT_FAILED : BBL_EXIT_OK;
}

/* Waits until all hosts apply a version of the lists. On a timeout, prints the
 * host that has not applied it. Returns the exit code. */
static int
wait_until_in_force(const bbl_cli_target *target, long long version)
{
    bbl_usec began = bbl_clock_now();
    long long waits_for = -1;
    char path[64];

    snprintf(path, sizeof(path), "/v1/admin/in-force/%lld", version);
    while (bbl_clock_now() < began + IN_FORCE_TIMEOUT_US) {
        bbl_buf response = BBL_BUF_INIT;
        long status = 0;
        json_t *root = NULL;
        bool done = false;

        if (bbl_cli_send_request(target, path, NULL, &status, &response) ==
                0 &&
            status == 200) {
            root = json_loadb(response.ptr, response.size, 0, NULL);
            done = json_is_true(json_object_get(root, "in_force"));
            waits_for = json_integer_value(json_object_get(root, "waits_for"));
        }
        json_decref(root);
        bbl_buf_free(&response);
        if (done) {
            printf("in force after %llu ms\n",
                   (unsigned long long)((bbl_clock_now() - began) / 1000));
            return BBL_EXIT_OK;
        }
        usleep(POLL_INTERVAL_US);
    }
    printf("not yet in force; waits for host %lld\n", waits_for);
    return BBL_EXIT_UNKNOWN;
}

static int
print_outcome(const bbl_cli_target *target, const bbl_buf *response, bool wait)
{
    json_t *root = json_loadb(response->ptr, response->size, 0, NULL);
    const char *outcome = get_text(root, "outcome");
    long long version = json_integer_value(json_object_get(root, "version"));
    int code = BBL_EXIT_FAILED;

    if (strcmp(outcome, "accepted") == 0) {
        printf("accepted version %lld\n", version);
        fflush(stdout);
        code = wait ? wait_until_in_force(target, version) : BBL_EXIT_OK;
    }
    else if (strcmp(outcome, "unknown") == 0) {
        bbl_cli_print_error(BBL_EXIT_UNKNOWN,
                            "no outcome in time; send it again "
                            "with the same --change");
        code = BBL_EXIT_UNKNOWN;
    }
    else if (strcmp(get_text(root, "error"), "conflict") == 0) {
        bbl_cli_print_error(code, "refused: the present version is %lld",
                            version);
    }
    else if (strcmp(get_text(root, "error"), "exists") == 0) {
        bbl_cli_print_error(code,
                            "refused: this change id was used for other "
                            "content, version %lld",
                            version);
    }
    else {
        bbl_cli_print_error(code, "refused: %s", get_text(root, "reason"));
    }
    json_decref(root);
    return code;
}

static int
send_change(lists_flags *f, const bbl_buf *plans, const bbl_buf *allowances)
{
    bbl_buf post = BBL_BUF_INIT;
    bbl_buf response = BBL_BUF_INIT;
    long status = 0;
    char *text;
    json_t *root = json_pack("{s:I, s:s, s:s%, s:s%}", "expected",
                             (json_int_t)f->expected, "change", f->change,
                             "plans", plans->ptr, plans->size, "allowances",
                             allowances->ptr, allowances->size);
    int code;

    if (root == NULL) {
        return bbl_cli_print_error(BBL_EXIT_FAILED,
                                   "a list is not valid UTF-8");
    }
    text = json_dumps(root, JSON_COMPACT);
    bbl_buf_append_cstr(&post, text);
    free(text);
    json_decref(root);
    if (bbl_cli_send_request(&f->target, "/v1/admin/lists", &post, &status,
                             &response) != 0) {
        code = bbl_cli_print_error(BBL_EXIT_UNKNOWN,
                                   "%s; send it again with --change %s",
                                   bbl_error_last(), f->change);
    }
    else {
        code = print_outcome(&f->target, &response, !f->no_wait);
    }
    bbl_buf_free(&post);
    bbl_buf_free(&response);
    return code;
}

static int
apply_lists(int argc, char **argv)
{
    lists_flags f = {0};
    bbl_buf plans = BBL_BUF_INIT;
    bbl_buf allowances = BBL_BUF_INIT;
    int code;

    if (parse_flags(&argc, &argv, &f, "PLANS ALLOWANCES - change the lists") !=
        0) {
        return BBL_EXIT_USAGE;
    }
    if (argc != 3 || f.expected < 0) {
        return bbl_cli_print_error(BBL_EXIT_USAGE,
                                   "lists apply --expected VERSION "
                                   "PLANS-FILE ALLOWANCES-FILE");
    }
    if (read_list_files(argv + 1, &plans, &allowances) != 0) {
        return bbl_cli_print_error(BBL_EXIT_FAILED, "%s", bbl_error_last());
    }
    if (f.change == NULL) {
        f.change =
            g_strdup_printf("%llx-%x", (unsigned long long)bbl_clock_wall_ms(),
                            (unsigned)getpid());
        printf("change %s\n", f.change);
    }
    bbl_buf_append(&plans, "", 0);
    bbl_buf_append(&allowances, "", 0);
    code = send_change(&f, &plans, &allowances);
    bbl_buf_free(&plans);
    bbl_buf_free(&allowances);
    free_flags(&f);
    return code;
}

int
bbl_cli_lists(int argc, char **argv)
{
    static const bbl_cli_command commands[] = {
        {"check", "", check_lists},
        {"show", "", show_lists},
        {"diff", "", diff_lists},
        {"apply", "", apply_lists},
    };

    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    return bbl_cli_print_error(BBL_EXIT_USAGE,
                               "lists check|show|diff|apply ...");
}
