#include "bbl/errors.h"

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_MAX 512 /* bytes, including the NUL */

static _Thread_local char last_message[MESSAGE_MAX];

int
bbl_error_set(int code, const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(last_message, sizeof(last_message), fmt, ap);
    va_end(ap);
    return code;
}

const char *
bbl_error_last(void)
{
    return last_message;
}

const char *
bbl_error_name(int code)
{
    static const char *const names[] = {
        "ok",      "invalid", "not-found", "exists",  "conflict",
        "damaged", "io",      "no-space",  "network", "auth",
        "leader",  "timeout", "full",      "locked",
    };
    size_t i = (size_t)-code;

    if (code > 0 || i >= sizeof(names) / sizeof(names[0])) {
        return "unknown";
    }
    return names[i];
}
