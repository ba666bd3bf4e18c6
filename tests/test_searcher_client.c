/* The client towards searchers, over real connections. */
#include <string.h>

#include "net/http_client.h"
#include "net/searcher_client.h"
#include "support/run.h"
#include "support/tcp.h"

static void
on_ended(void *ctx, uint64_t exchange, const bbl_exchange_result *result)
{
    (void)ctx;
    (void)exchange;
    (void)result;
    ck_abort_msg("no exchange was started");
}

static void
on_info(void *ctx, uint32_t searcher, const bbl_searcher_info *info)
{
    unsigned *told = ctx;

    (void)searcher;
    (void)info;
    (*told)++;
}

/* The address sanitizer tells what is not freed. */
START_TEST(a_poll_under_way_at_the_end_is_given_up)
{
    unsigned told = 0;
    bbl_searcher_port port = {on_ended, on_info, &told};
    bbl_searcher_client *client;
    bbl_loop *loop;
    bbl_http_client *http;
    bblx_address address;
    int listener = tcp_listen(&address);

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(bbl_http_client_open(&http, loop, 0), 0);
    bbl_searcher_client_new(&client, http, &port, BBL_USEC_PER_SEC);
    bbl_searcher_client_poll_info(client, 1, address);
    tcp_run_loop(loop, 20);
    ck_assert_uint_eq(bbl_searcher_client_get_counters(client)->info_requests,
                      1);
    bbl_http_client_free(http);
    bbl_searcher_client_free(client);
    ck_assert_uint_eq(told, 0);
    bbl_loop_free(loop);
    close(listener);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("searcher_client");
    TCase *tc = tcase_create("searcher_client");

    tcase_add_test(tc, a_poll_under_way_at_the_end_is_given_up);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
