#include "bbl/types.h"

#include <string.h>

#include "bbl/errors.h"

int
bbl_name_set(bbl_name *out, const char *ptr, size_t size)
{
    memset(out, 0, sizeof(*out));
    if (size == 0 || size > BBL_NAME_MAX) {
        return bbl_error_set(BBL_EINVAL, "a name has 1 to %d bytes, not %zu",
                             BBL_NAME_MAX, size);
    }
    out->size = (uint8_t)size;
    memcpy(out->ptr, ptr, size);
    return 0;
}

bool
bbl_name_equal(const bbl_name *a, const bbl_name *b)
{
    return a->size == b->size && memcmp(a->ptr, b->ptr, a->size) == 0;
}

bool
bbl_str_equal(bbl_str a, bbl_str b)
{
    return a.size == b.size &&
           (a.size == 0 || memcmp(a.ptr, b.ptr, a.size) == 0);
}

bbl_str
bbl_name_str(const bbl_name *name)
{
    return (bbl_str){name->ptr, name->size};
}

static const char *const urgency_names[BBL_URGENCY_COUNT] = {
    "urgent", "normal", "batch"};

const char *
bbl_urgency_name(bbl_urgency urgency)
{
    return urgency < BBL_URGENCY_COUNT ? urgency_names[urgency] : "unknown";
}

int
bbl_urgency_parse(bbl_urgency *out, bbl_str text)
{
    for (int i = 0; i < BBL_URGENCY_COUNT; i++) {
        const char *name = urgency_names[i];

        if (bbl_str_equal((bbl_str){name, strlen(name)}, text)) {
            *out = (bbl_urgency)i;
            return 0;
        }
    }
    return bbl_error_set(BBL_EINVAL, "urgency is urgent, normal or batch");
}
