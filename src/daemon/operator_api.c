#include "daemon/operator_api.h"

#include <string.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/deflate.h"
#include "util/log.h"

/* An order whose proposal is under way. */
typedef struct {
    uint64_t number; /* of the proposal */
    bbl_edge_call *call;
    bbl_operator_command_kind kind;
    uint64_t version;
} order_wait;

static const bbl_str json_field = {"Content-Type: application/json\r\n", 32};

static const char *
kind_name(bbl_operator_command_kind kind)
{
    static const char *const names[] = {
        "unknown",     "ready",    "put-routing",
        "get-routing", "evacuate", "restore",
    };

    return names[kind];
}

void
bbl_operator_api_init(bbl_operator_api *o, bbl_control *control,
                      const bbl_dialect *dialect, bblx_address address)
{
    memset(o, 0, sizeof(*o));
    o->control = control;
    o->dialect = dialect;
    o->address = address;
    o->proposals = (bbl_vec)BBL_VEC_INIT(order_wait);
}

void
bbl_operator_api_free(bbl_operator_api *o)
{
    bbl_vec_free(&o->proposals);
}

static void
answer(bbl_edge_call *call, unsigned status, const char *reason)
{
    bbl_buf body = BBL_BUF_INIT;
    bbl_edge_response r = {status, {"", 0}, {"", 0}, false};

    bbl_buf_printf(&body, "{\"outcome\":\"%s\"}\n", reason);
    r.fields = json_field;
    r.body = bbl_buf_str(&body);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&body);
}

static void
log_order(bbl_operator_command_kind kind, uint64_t version, unsigned status,
          const char *outcome)
{
    bbl_log(BBL_EV_ORDER, "kind=%s version=%llu status=%u outcome=\"%s\"",
            kind_name(kind), (unsigned long long)version, status, outcome);
}

/* Proposes a command; the call is answered with its outcome. */
static void
propose(bbl_operator_api *o, bbl_usec now, bbl_edge_call *call,
        const bbl_operator_command *order, uint64_t version,
        const bblx_command *command)
{
    bbl_buf data = BBL_BUF_INIT;
    order_wait w = {0, call, order->kind, version};

    if (BBL_XDR_ENCODE(&data, bblx_command, command) != 0) {
        answer(call, 400, "too large");
        log_order(order->kind, version, 400, "too large");
    }
    else {
        w.number = bbl_control_propose(o->control, now, bbl_buf_str(&data));
        bbl_vec_push(&o->proposals, &w);
    }
    bbl_buf_free(&data);
}

static void
refuse_routing(bbl_edge_call *call)
{
    bbl_log(BBL_EV_ROUTING_REFUSED, "bytes=%zu reason=\"%s\"",
            call->message->body.size, bbl_error_last());
    answer(call, 400, "the routing is invalid");
}

static void
put_routing(bbl_operator_api *o, bbl_usec now, bbl_edge_call *call,
            const bbl_operator_command *order)
{
    bbl_str document = bbl_buf_str(&call->message->body);
    bbl_buf packed = BBL_BUF_INIT;
    bblx_command command;
    bbl_routing *routing;
    uint64_t version;

    if (o->dialect->read_routing(&routing, document) != 0) {
        refuse_routing(call);
        return;
    }
    version = bbl_routing_version(routing);
    if (bbl_routing_check(routing) != 0) {
        refuse_routing(call);
    }
    else if (bbl_state_routing(bbl_control_state(o->control))->number >=
             version) {
        /* A committed version is durable, and this one changes nothing. */
        answer(call, 200, "held");
        log_order(order->kind, version, 200, "a version as new is held");
    }
    else if (bbl_deflate(&packed, document) != 0) {
        answer(call, 503, "not recorded");
        log_order(order->kind, version, 503, bbl_error_last());
    }
    else {
        memset(&command, 0, sizeof(command));
        command.kind = BBLX_ROUTING;
        command.bblx_command_u.routing.number = version;
        command.bblx_command_u.routing.size = (u_int)document.size;
        command.bblx_command_u.routing.document =
            bbl_wire_text_borrow(bbl_buf_str(&packed));
        propose(o, now, call, order, version, &command);
    }
    bbl_buf_free(&packed);
    bbl_routing_free(routing);
}

static void
put_evacuation(bbl_operator_api *o, bbl_usec now, bbl_edge_call *call,
               const bbl_operator_command *order)
{
    bblx_command command;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_EVACUATE;
    command.bblx_command_u.evacuate.zone = bbl_name_to_wire(&order->zone);
    command.bblx_command_u.evacuate.withdraw =
        order->kind == BBL_OPERATOR_COMMAND_EVACUATE;
    propose(o, now, call, order, 0, &command);
}

/* Sends the operator on to the leader, which alone knows the newest state. */
static void
redirect(bbl_operator_api *o, bbl_usec now, bbl_edge_call *call)
{
    bbl_control_status s;
    bbl_buf fields = BBL_BUF_INIT;
    bbl_edge_response r = {307, {"", 0}, {"", 0}, false};
    bblx_address leader = o->address;

    bbl_control_get_status(o->control, now, &s);
    if (s.leader == 0 || s.leader == o->address.ip) {
        answer(call, 503, "no leader");
        return;
    }
    leader.ip = s.leader; /* a host is named by its address */
    bbl_buf_append_cstr(&fields, "Location: http://");
    bbl_address_append(&fields, leader);
    bbl_buf_append(&fields, call->target.ptr, call->target.size);
    bbl_buf_append_cstr(&fields, "\r\n");
    r.fields = bbl_buf_str(&fields);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&fields);
}

int
bbl_operator_api_inflate_document(bbl_buf *out, const bbl_state *state)
{
    const bblx_routing *r = bbl_state_routing(state);

    return bbl_inflate(out, bbl_wire_text_str(&r->document), r->size);
}

static void
get_routing(bbl_operator_api *o, bbl_usec now, bbl_edge_call *call)
{
    const bbl_state *state = bbl_control_state(o->control);
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};
    bbl_buf document = BBL_BUF_INIT;

    if (!bbl_control_leads(o->control, now)) {
        redirect(o, now, call);
        return;
    }
    if (bbl_state_routing(state)->number == 0 ||
        bbl_operator_api_inflate_document(&document, state) != 0) {
        answer(call, 503, "no routing");
    }
    else {
        r.fields = json_field;
        r.body = bbl_buf_str(&document);
        bbl_edge_respond(call, &r);
    }
    bbl_buf_free(&document);
}

void
bbl_operator_api_handle_call(bbl_operator_api *o, bbl_usec now,
                             bbl_edge_call *call)
{
    bbl_operator_command order;

    o->commands_received++;
    o->dialect->read_operator_command(&order, call->method, call->path);
    switch (order.kind) {
    case BBL_OPERATOR_COMMAND_PUT_ROUTING:
        put_routing(o, now, call, &order);
        break;
    case BBL_OPERATOR_COMMAND_GET_ROUTING:
        get_routing(o, now, call);
        break;
    case BBL_OPERATOR_COMMAND_EVACUATE:
    case BBL_OPERATOR_COMMAND_RESTORE:
        put_evacuation(o, now, call, &order);
        break;
    default:
        answer(call, 404, "no such order");
        break;
    }
}

void
bbl_operator_api_cancel_call(bbl_operator_api *o, const bbl_edge_call *call)
{
    for (size_t i = 0; i < o->proposals.size; i++) {
        if (BBL_VEC_AT(order_wait, &o->proposals, i)->call == call) {
            bbl_vec_swap_remove(&o->proposals, i);
            return;
        }
    }
}

void
bbl_operator_api_complete_proposal(bbl_operator_api *o, uint64_t number,
                                   const bblx_propose_reply *reply)
{
    for (size_t i = 0; i < o->proposals.size; i++) {
        order_wait w = *BBL_VEC_AT(order_wait, &o->proposals, i);
        unsigned status = reply->status == 0 ? 200 : 503;

        if (w.number == number) {
            bbl_vec_swap_remove(&o->proposals, i);
            answer(w.call, status,
                   status == 200 ? "recorded" : "not known to be recorded");
            log_order(w.kind, w.version, status,
                      bbl_error_name(reply->status));
            return;
        }
    }
}
