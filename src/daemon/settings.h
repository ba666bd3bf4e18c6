/*
 * settings.h - settings of one kind of process: from flags, from environment
 * variables, from a settings file, or their defaults, in this order.
 */
#ifndef BBL_DAEMON_SETTINGS_H
#define BBL_DAEMON_SETTINGS_H

#include <stdint.h>

/* One setting, for the help text and the manual. */
typedef struct {
    const char *flag;
    const char *variable;
    const char *default_value; /* its default; NULL: required */
    const char *unit;
    const char *range;
    const char *help;
    /* Reads the text into the options. */
    int (*parse)(void *options, const char *text);
} bbl_setting;

/*
 * Reads settings.
 *
 * @param out      passed to the settings' `read`
 * @param settings ends with a row whose flag is NULL
 * @param value    returns the text given for a flag, or NULL
 * @param file     the settings file, or NULL; an unknown key is ignored, a
 *                 key without a value counts as not given
 * @return 0, or BBL_EINVAL with a message naming the setting, and the file
 */
int bbl_settings_read(void *out, const bbl_setting *settings,
                      const char *(*value)(void *ctx, const char *flag),
                      void *ctx, const char *file);

/* Reads a whole number within bounds; returns 0 or BBL_EINVAL. */
int bbl_setting_parse_number(uint32_t *out, const char *text, uint32_t least,
                             uint32_t most);

/* Copies a text, owned by `*out`; an empty one becomes NULL. Returns 0. */
int bbl_setting_copy_text(char **out, const char *text);

/*
 * Reads a list whose parts are separated by commas.
 *
 * @param add takes one part; returns 0 or a negative error
 * @return 0, what `add` returned, or BBL_EINVAL when there is no part
 */
int bbl_setting_parse_list(void *out, const char *text,
                           int (*add)(void *out, const char *part));

/* Reads a decimal fraction within bounds; returns 0 or BBL_EINVAL. */
int bbl_setting_parse_fraction(double *out, const char *text, double least,
                               double most);

#endif
