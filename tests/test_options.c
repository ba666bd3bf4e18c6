/* Settings of `baobablatch serve`: their ranges and their error messages. */
#include <string.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "daemon/node_options.h"
#include "daemon/options.h"
#include "support/run.h"

#define KEY_HEX                                                               \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* A flag and the text given for it. */
typedef struct {
    const char *flag;
    const char *text;
} flag_value;

static char key_path[] = "/tmp/bbl-key-XXXXXX";

static const flag_value valid[] = {
    {"host-id", "3"},
    {"cluster", "c"},
    {"key-file", key_path},
    {"data-centre", "dc1"},
    {"control-address", "127.0.0.1:1"},
    {"traffic-address", "127.0.0.1:2"},
    {"http-address", "127.0.0.1:3"},
    {"admin-address", "127.0.0.1:4"},
    {"voters", "1=127.0.0.1:1,2=127.0.0.2:1"},
};

static const char *
get_value(void *ctx, const char *flag)
{
    const flag_value *c = ctx;

    if (c != NULL && strcmp(c->flag, flag) == 0) {
        return c->text;
    }
    for (size_t i = 0; i < sizeof(valid) / sizeof(valid[0]); i++) {
        if (strcmp(valid[i].flag, flag) == 0) {
            return valid[i].text;
        }
    }
    return NULL;
}

START_TEST(valid_settings_are_read)
{
    bbl_daemon_options o;
    flag_value heartbeat = {"beat-ms", "100"};

    ck_assert_msg(bbl_daemon_options_read(&o, get_value, &heartbeat) == 0,
                  "%s", bbl_error_last());
    ck_assert_uint_eq(o.host, 3);
    ck_assert_uint_eq(o.heartbeat_ms, 100);
    ck_assert_uint_eq(o.lease_ms, 1500);
    ck_assert_uint_eq(o.key[1], 0x11);
    ck_assert_uint_eq(o.voters.list.list_len, 2);
    ck_assert_uint_eq(o.voters.list.list_val[1].control.ip, 0x7f000002);
    ck_assert_ptr_null(o.data_dir);
    bbl_daemon_options_free(&o);
}
END_TEST

static const flag_value invalid[] = {
    {"host-id", "0"},
    {"host-id", "3x"},
    {"host-id", ""},
    {"host-id", "99999999999"},
    {"cluster", ""},
    {"cluster", "a-name-that-is-longer-than-31-bytes"},
    {"key-file", "/nonexistent"},
    {"key-file", "/dev/null"},
    {"control-address", "localhost:80"},
    {"control-address", "127.0.0.1"},
    {"control-address", "127.0.0.1:0"},
    {"control-address", "127.0.0.1:65536"},
    {"voters", "1"},
    {"voters", "x=127.0.0.1:1"},
    {"voters", ""},
    {"platform-url", "ftp://x"},
    {"policy", "best"},
    {"beat-ms", "9"},
    {"beat-ms", "1001"},
    {"lease-ms", "600"},
    {"hedge-ppm", "-1"},
    {"log-level", "loud"},
    {"http-threads", "1"},
};

/* Three daemons on a host of 32 GB held 1.5 GB each for others' responses. */
START_TEST(memory_is_bounded_without_a_setting)
{
    bbl_node_options o = {.memory_mb = 0};
    const size_t mb = 1u << 20;

    ck_assert_uint_eq(bbl_node_options_get_memory(&o, 32768 * mb), 512 * mb);
    ck_assert_uint_eq(bbl_node_options_get_memory(&o, 160 * mb), 160 * mb);
    o.memory_mb = 2048;
    ck_assert_uint_eq(bbl_node_options_get_memory(&o, 160 * mb), 2048 * mb);
}
END_TEST

START_TEST(invalid_settings_are_reported)
{
    bbl_daemon_options o;
    flag_value c = invalid[_i];

    ck_assert_int_eq(bbl_daemon_options_read(&o, get_value, &c), BBL_EINVAL);
    ck_assert_msg(strstr(bbl_error_last(), c.flag) != NULL, "%s: \"%s\"",
                  c.flag, bbl_error_last());
    bbl_daemon_options_free(&o);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("options");
    TCase *tc = tcase_create("options");
    int fd = mkstemp(key_path);
    int code;

    if (fd < 0 ||
        write(fd, KEY_HEX, strlen(KEY_HEX)) != (ssize_t)strlen(KEY_HEX)) {
        return EXIT_FAILURE;
    }
    close(fd);
    tcase_add_test(tc, valid_settings_are_read);
    tcase_add_test(tc, memory_is_bounded_without_a_setting);
    tcase_add_loop_test(tc, invalid_settings_are_reported, 0,
                        sizeof(invalid) / sizeof(invalid[0]));
    suite_add_tcase(suite, tc);
    code = run_suite(suite);
    unlink(key_path);
    return code;
}
