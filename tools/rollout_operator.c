#include "rollout_operator.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"
#include "util/buf.h"
#include "util/clock.h"
#include "util/vec.h"

#define READ_INTERVAL_US (100 * BBL_USEC_PER_MS)
/* An order that a host did not take goes to the next one after this time. */
#define ORDER_INTERVAL_US (50 * BBL_USEC_PER_MS)
#define ANSWER_MAX_US (1 * BBL_USEC_PER_SEC)
#define CONNECTIONS_MAX 2
#define MAX_IDLE_US (5 * BBL_USEC_PER_SEC)
#define STATE_MAX 32

typedef struct {
    rollout_operator *op;
    bbl_backend_link *link;
    bbl_link_exchange *exchange; /* NULL if no request is open */
    bbl_usec sent_at;
} control_host;

struct rollout_operator {
    bbl_backend_client *client;
    rollout_operator_options options;
    bbl_vec hosts;     /* control_host * */
    bbl_usec next_at;  /* of the next order or read */
    size_t order_host; /* the one to ask next */
    bool ordered;      /* whether the order was sent at least once */
    bool answered;     /* whether it was acknowledged or refused */
};

void
rollout_operator_open(rollout_operator **out, bbl_backend_client *client,
                      const rollout_operator_options *options)
{
    rollout_operator *op = bbl_calloc(1, sizeof(*op));

    op->client = client;
    op->options = *options;
    op->hosts = (bbl_vec)BBL_VEC_INIT(control_host *);
    op->next_at = options->order_at;
    *out = op;
}

void
rollout_operator_free(rollout_operator *op)
{
    if (op == NULL) {
        return;
    }
    for (size_t i = 0; i < op->hosts.size; i++) {
        control_host *host = *BBL_VEC_AT(control_host *, &op->hosts, i);

        if (host->exchange != NULL) {
            bbl_link_exchange_abandon(host->exchange);
        }
        bbl_backend_link_release(host->link);
        free(host);
    }
    bbl_vec_free(&op->hosts);
    free(op);
}

void
rollout_operator_add_host(rollout_operator *op, bblx_address address)
{
    control_host *host = bbl_calloc(1, sizeof(*host));

    host->op = op;
    host->link = bbl_backend_link_new(op->client, address, NULL);
    bbl_backend_link_set_limit(host->link, CONNECTIONS_MAX, false);
    bbl_vec_push(&op->hosts, &host);
}

static void
record_state(const rollout_operator *op, const char *state)
{
    fprintf(op->options.record, "%llu,%s\n",
            (unsigned long long)bbl_clock_wall_ms(), state);
}

/* Returns the status of an answer, or 0 if there is none. */
static unsigned
end_exchange(control_host *host, const bbl_link_exchange_result *r)
{
    host->exchange = NULL;
    return r->exchange_outcome == BBL_LINK_RESPONSE
               ? bbl_http_message_status(r->message)
               : 0;
}

static void
on_order_answer(void *ctx, const bbl_link_exchange_result *r)
{
    control_host *host = ctx;
    rollout_operator *op = host->op;
    unsigned status = end_exchange(host, r);
    char text[STATE_MAX];

    if (status >= 200 && status < 300) {
        op->answered = true;
        record_state(op, "acknowledged");
    }
    else if (status >= 400 && status < 500) {
        op->answered = true;
        snprintf(text, sizeof(text), "refused %u", status);
        record_state(op, text);
    }
    /* Otherwise the next host is asked; the same order again is harmless. */
}

static void
on_state_answer(void *ctx, const bbl_link_exchange_result *r)
{
    static const char key[] = "\"state\":\"";
    control_host *host = ctx;
    const char *begin;
    size_t size;
    char state[STATE_MAX];

    if (end_exchange(host, r) != 200 || r->message->body.ptr == NULL) {
        return; /* not the leader, or unsure */
    }
    begin = strstr(r->message->body.ptr, key);
    if (begin == NULL) {
        return;
    }
    begin += sizeof(key) - 1;
    size = strcspn(begin, "\"");
    if (size < sizeof(state)) {
        memcpy(state, begin, size);
        state[size] = '\0';
        record_state(host->op, state);
    }
}

static void
start_exchange(control_host *host, bbl_usec now, const bbl_buf *head,
               const bbl_buf *body, bbl_link_exchange_done done)
{
    bbl_link_exchange_request r;

    memset(&r, 0, sizeof(r));
    r.head = bbl_buf_str(head);
    r.body = bbl_buf_str(body);
    r.max_idle = MAX_IDLE_US;
    r.done = done;
    r.ctx = host;
    host->sent_at = now;
    if (bbl_link_exchange_start(&host->exchange, host->link, now, &r) != 0) {
        host->exchange = NULL;
    }
}

/* Sends the order to the next host, unless one has it already. */
static void
send_order(rollout_operator *op, bbl_usec now)
{
    bbl_buf head = BBL_BUF_INIT;
    bbl_buf body = BBL_BUF_INIT;
    control_host *host;

    for (size_t i = 0; i < op->hosts.size; i++) {
        if ((*BBL_VEC_AT(control_host *, &op->hosts, i))->exchange != NULL) {
            return;
        }
    }
    if (!op->ordered) {
        op->ordered = true;
        record_state(op, "ordered");
    }
    host = *BBL_VEC_AT(control_host *, &op->hosts,
                       op->order_host++ % op->hosts.size);
    bbl_buf_printf(&body,
                   "{\"service\":\"%s\",\"target_version\":\"%s\","
                   "\"duration_s\":%u}",
                   op->options.service, op->options.version,
                   op->options.duration_s);
    bbl_buf_printf(&head,
                   "POST /-/rollouts HTTP/1.1\r\nHost: a\r\n"
                   "Content-Length: %zu\r\n",
                   body.size);
    start_exchange(host, now, &head, &body, on_order_answer);
    bbl_buf_free(&head);
    bbl_buf_free(&body);
}

/* Asks all hosts, of which only the leader answers. */
static void
read_states(rollout_operator *op, bbl_usec now)
{
    bbl_buf head = BBL_BUF_INIT;
    bbl_buf body = BBL_BUF_INIT;

    bbl_buf_printf(&head, "GET /-/rollouts/%s HTTP/1.1\r\nHost: a\r\n",
                   op->options.service);
    for (size_t i = 0; i < op->hosts.size; i++) {
        control_host *host = *BBL_VEC_AT(control_host *, &op->hosts, i);

        if (host->exchange == NULL) {
            start_exchange(host, now, &head, &body, on_state_answer);
        }
    }
    bbl_buf_free(&head);
}

void
rollout_operator_tick(rollout_operator *op, bbl_usec now)
{
    for (size_t i = 0; i < op->hosts.size; i++) {
        control_host *host = *BBL_VEC_AT(control_host *, &op->hosts, i);

        if (host->exchange != NULL && now >= host->sent_at + ANSWER_MAX_US) {
            bbl_link_exchange_abandon(host->exchange);
            host->exchange = NULL;
        }
    }
    if (now < op->next_at) {
        return;
    }
    if (!op->answered) {
        op->next_at = now + ORDER_INTERVAL_US;
        send_order(op, now);
    }
    else {
        op->next_at = now + READ_INTERVAL_US;
        read_states(op, now);
    }
}
