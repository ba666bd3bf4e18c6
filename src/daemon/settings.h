/*
 * settings.h - reads the settings of a process. Each comes from its flag, else
 * from its environment variable, else from the settings file, else from its
 * default.
 */
#ifndef BBL_DAEMON_SETTINGS_H
#define BBL_DAEMON_SETTINGS_H

#include <stdint.h>

/* One setting. The help text and the manual show all its strings. */
typedef struct {
    const char *flag; /* without the leading dashes; also the key in a file */
    const char *variable;      /* environment variable */
    const char *default_value; /* NULL: the setting is required */
    const char *unit;          /* empty if none */
    const char *range;
    const char *help;
    /* Parses the text into the options; returns 0 or a negative error. */
    int (*parse)(void *options, const char *text);
} bbl_setting;

/*
 * Reads all settings of a table.
 *
 * @param out      passed to the settings' `parse`
 * @param settings the table; a row whose flag is NULL ends it
 * @param value    returns the text given for a flag, or NULL
 * @param file     path of the settings file, or NULL; unknown keys are
 *                 ignored, a key with an empty value counts as absent
 * @return 0, or BBL_EINVAL with a message that names the setting, and the file
 * if the value came from it
 */
int bbl_settings_read(void *out, const bbl_setting *settings,
                      const char *(*value)(void *ctx, const char *flag),
                      void *ctx, const char *file);

/* Parses a whole number from `min` to `max`; returns 0 or BBL_EINVAL. */
int bbl_setting_parse_number(uint32_t *out, const char *text, uint32_t min,
                             uint32_t max);

/*
 * Sets `*out` to a copy of a text, which the caller owns, or to NULL if the
 * text is empty. Returns 0.
 */
int bbl_setting_copy_text(char **out, const char *text);

/*
 * Parses a list whose parts are separated by commas.
 *
 * @param add processes one part; returns 0 or a negative error
 * @return 0, the error of `add`, or BBL_EINVAL if the list is empty
 */
int bbl_setting_parse_list(void *out, const char *text,
                           int (*add)(void *out, const char *part));

/* Parses a decimal number from `min` to `max`; returns 0 or BBL_EINVAL. */
int bbl_setting_parse_fraction(double *out, const char *text, double min,
                               double max);

#endif
