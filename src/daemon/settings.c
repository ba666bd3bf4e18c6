#include "daemon/settings.h"

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "util/alloc.h"

#define GROUP "settings" /* of the settings file */

/* Returns the file's text for a flag, owned by the caller, or NULL. */
static char *
file_value(GKeyFile *file, const char *flag)
{
    char *text;

    if (file == NULL) {
        return NULL;
    }
    text = g_key_file_get_string(file, GROUP, flag, NULL);
    if (text != NULL && text[0] == '\0') {
        g_free(text);
        return NULL;
    }
    return text;
}

static int
read_setting(void *out, const bbl_setting *s, const char *given,
             GKeyFile *file, const char *path)
{
    char *from_file = NULL;
    const char *text = given;
    char reason[256];
    int error;

    if (text == NULL) {
        text = getenv(s->variable);
    }
    if (text == NULL) {
        from_file = file_value(file, s->flag);
        text = from_file;
    }
    if (text == NULL) {
        text = s->default_value;
    }
    if (text == NULL) {
        return bbl_error_set(BBL_EINVAL, "--%s (or %s) is missing", s->flag,
                             s->variable);
    }
    error = s->parse(out, text);
    if (error != 0) {
        snprintf(reason, sizeof(reason), "%s", bbl_error_last());
        error = from_file != NULL
                    ? bbl_error_set(BBL_EINVAL, "%s: key %s: %s", path,
                                    s->flag, reason)
                    : bbl_error_set(BBL_EINVAL, "--%s (or %s): %s", s->flag,
                                    s->variable, reason);
    }
    g_free(from_file);
    return error;
}

int
bbl_settings_read(void *out, const bbl_setting *settings,
                  const char *(*value)(void *ctx, const char *flag), void *ctx,
                  const char *path)
{
    GKeyFile *file = NULL;
    GError *reason = NULL;
    int error = 0;

    if (path != NULL) {
        file = g_key_file_new();
        if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &reason)) {
            bbl_error_set(BBL_EINVAL, "%s: %s", path, reason->message);
            g_error_free(reason);
            g_key_file_free(file);
            return BBL_EINVAL;
        }
    }
    for (size_t i = 0; error == 0 && settings[i].flag != NULL; i++) {
        error = read_setting(out, &settings[i], value(ctx, settings[i].flag),
                             file, path);
    }
    if (file != NULL) {
        g_key_file_free(file);
    }
    return error;
}

int
bbl_setting_parse_number(uint32_t *out, const char *text, uint32_t least,
                         uint32_t most)
{
    char *end;
    unsigned long n;

    errno = 0;
    n = strtoul(text, &end, 10);
    if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 ||
        n < least || n > most) {
        return bbl_error_set(BBL_EINVAL, "a whole number from %u to %u", least,
                             most);
    }
    *out = (uint32_t)n;
    return 0;
}

int
bbl_setting_copy_text(char **out, const char *text)
{
    *out = text[0] != '\0' ? bbl_memdup(text, strlen(text)) : NULL;
    return 0;
}

int
bbl_setting_parse_list(void *out, const char *text,
                       int (*add)(void *out, const char *part))
{
    char *copy = bbl_memdup(text, strlen(text));
    char *save = NULL;
    unsigned count = 0;
    int error = 0;

    for (char *part = strtok_r(copy, ",", &save); part != NULL && error == 0;
         part = strtok_r(NULL, ",", &save)) {
        error = add(out, part);
        count++;
    }
    free(copy);
    return error == 0 && count == 0
               ? bbl_error_set(BBL_EINVAL, "at least one is needed")
               : error;
}

int
bbl_setting_parse_fraction(double *out, const char *text, double least,
                           double most)
{
    char *end;
    double n;

    errno = 0;
    n = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || errno != 0 || n < least || n > most) {
        return bbl_error_set(BBL_EINVAL, "a number from %g to %g", least,
                             most);
    }
    *out = n;
    return 0;
}
