#include "daemon/operator_api.h"

#include <string.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/deflate.h"
#include "util/log.h"

/* Operators turn to another host if they have no response after this time. */
#define RESPONSE_TIMEOUT_US (1000 * BBL_USEC_PER_MS)

/* An operator command whose proposal has no outcome yet. */
typedef struct {
    uint64_t number; /* of the proposal */
    bbl_edge_call *call;
    bbl_operator_command_kind kind;
    uint64_t version;
} pending_proposal;

static const bbl_str json_field = {"Content-Type: application/json\r\n", 32};

static const char *
get_kind_name(bbl_operator_command_kind kind)
{
    static const char *const names[] = {
        "unknown",  "ready",   "put-routing", "get-routing",
        "evacuate", "restore", "roll-out",    "get-rollout",
    };

    return names[kind];
}

/*
 * Withdraws the proposal of a command that has no version: it must not take
 * effect once its operator has left and may have revoked it elsewhere.
 */
static void
withdraw_unversioned(bbl_operator_api *api, const pending_proposal *p)
{
    if (p->kind != BBL_OPERATOR_COMMAND_PUT_ROUTING) {
        bbl_control_withdraw_proposal(api->control, p->number);
    }
}

void
bbl_operator_api_init(bbl_operator_api *api, bbl_control *control,
                      const bbl_dialect *dialect, bblx_address address)
{
    memset(api, 0, sizeof(*api));
    api->control = control;
    api->dialect = dialect;
    api->address = address;
    api->proposals = (bbl_vec)BBL_VEC_INIT(pending_proposal);
}

void
bbl_operator_api_free(bbl_operator_api *api)
{
    bbl_vec_free(&api->proposals);
}

static void
respond(bbl_edge_call *call, unsigned status, const char *reason)
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
log_command(bbl_operator_command_kind kind, uint64_t version, unsigned status,
            const char *outcome)
{
    bbl_log(BBL_EV_ORDER, "kind=%s version=%llu status=%u outcome=\"%s\"",
            get_kind_name(kind), (unsigned long long)version, status, outcome);
}

/* Proposes a command; the call is answered when its outcome is known. */
static void
propose_command(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call,
                const bbl_operator_command *operator_command, uint64_t version,
                const bblx_command *command)
{
    bbl_buf data = BBL_BUF_INIT;
    pending_proposal pending = {0, call, operator_command->kind, version};

    if (BBL_XDR_ENCODE(&data, bblx_command, command) != 0) {
        respond(call, 400, "too large");
        log_command(operator_command->kind, version, 400, "too large");
    }
    else {
        pending.number =
            command->kind == BBLX_EVACUATE
                ? bbl_control_propose_evacuation(api->control, now,
                                                 bbl_buf_str(&data))
                : bbl_control_propose(api->control, now, bbl_buf_str(&data));
        bbl_vec_push(&api->proposals, &pending);
    }
    bbl_buf_free(&data);
}

static void
refuse_routing(bbl_edge_call *call)
{
    bbl_log(BBL_EV_ROUTING_REFUSED, "bytes=%zu reason=\"%s\"",
            call->message->body.size, bbl_error_last());
    respond(call, 400, "the routing is invalid");
}

static void
handle_put_routing(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call,
                   const bbl_operator_command *operator_command)
{
    bbl_str document = bbl_buf_str(&call->message->body);
    bbl_buf packed = BBL_BUF_INIT;
    bblx_command command;
    bbl_routing *routing;
    uint64_t version;

    if (api->dialect->read_routing(&routing, document) != 0) {
        refuse_routing(call);
        return;
    }
    version = bbl_routing_version(routing);
    if (bbl_routing_check(routing) != 0) {
        refuse_routing(call);
    }
    else if (bbl_state_routing(bbl_control_state(api->control))->number >=
             version) {
        /* This version or a newer one is committed; nothing would change. */
        respond(call, 200, "held");
        log_command(operator_command->kind, version, 200,
                    "this or a newer version is committed");
    }
    else if (bbl_deflate(&packed, document) != 0) {
        respond(call, 503, "not recorded");
        log_command(operator_command->kind, version, 503, bbl_error_last());
    }
    else {
        memset(&command, 0, sizeof(command));
        command.kind = BBLX_ROUTING;
        command.bblx_command_u.routing.number = version;
        command.bblx_command_u.routing.size = (u_int)document.size;
        command.bblx_command_u.routing.document =
            bbl_wire_text_borrow(bbl_buf_str(&packed));
        propose_command(api, now, call, operator_command, version, &command);
    }
    bbl_buf_free(&packed);
    bbl_routing_free(routing);
}

/*
 * Refuses a command without a version that its operator has given up: it must
 * not take effect any more, as the operator may have withdrawn it elsewhere
 * meanwhile. The call may have waited in the socket, for example while this
 * host was frozen. Returns whether it was refused.
 */
static bool
refuse_given_up(bbl_usec now, bbl_edge_call *call,
                const bbl_operator_command *operator_command)
{
    if (now <= call->received_at + RESPONSE_TIMEOUT_US &&
        bbl_edge_call_is_awaited(call)) {
        return false;
    }
    log_command(operator_command->kind, 0, 503,
                "received after the operator has given it up");
    respond(call, 503, "received too late");
    return true;
}

static void
handle_evacuation(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call,
                  const bbl_operator_command *operator_command)
{
    bblx_command command;

    if (refuse_given_up(now, call, operator_command)) {
        return;
    }
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_EVACUATE;
    command.bblx_command_u.evacuate.zone =
        bbl_name_to_wire(&operator_command->zone);
    command.bblx_command_u.evacuate.withdraw =
        operator_command->kind == BBL_OPERATOR_COMMAND_EVACUATE;
    propose_command(api, now, call, operator_command, 0, &command);
}

/* Redirects the operator to the leader; only it has the newest state. */
static void
redirect_to_leader(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call)
{
    bbl_control_status s;
    bbl_buf fields = BBL_BUF_INIT;
    bbl_edge_response r = {307, {"", 0}, {"", 0}, false};
    bblx_address leader = api->address;

    bbl_control_get_status(api->control, now, &s);
    if (s.leader == 0 || s.leader == api->address.ip) {
        respond(call, 503, "no leader");
        return;
    }
    leader.ip = s.leader; /* the host id is its IP address */
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
handle_get_routing(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call)
{
    const bbl_state *state = bbl_control_state(api->control);
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};
    bbl_buf document = BBL_BUF_INIT;

    if (!bbl_control_leads(api->control, now)) {
        redirect_to_leader(api, now, call);
        return;
    }
    if (bbl_state_routing(state)->number == 0 ||
        bbl_operator_api_inflate_document(&document, state) != 0) {
        respond(call, 503, "no routing");
    }
    else {
        r.fields = json_field;
        r.body = bbl_buf_str(&document);
        bbl_edge_respond(call, &r);
    }
    bbl_buf_free(&document);
}

/* ---- rollouts ---- */

static bblx_label
borrow_label(const bbl_buf *text)
{
    return (bblx_label){(u_int)text->size, text->ptr};
}

/* Returns whether the routing in effect has a service. */
static bool
has_service(const bbl_operator_api *api, bbl_str name)
{
    const bbl_state *state = bbl_control_state(api->control);
    const bbl_service *service;
    bbl_buf document = BBL_BUF_INIT;
    bbl_routing *routing = NULL;
    bool found = false;

    if (bbl_state_routing(state)->number != 0 &&
        bbl_operator_api_inflate_document(&document, state) == 0 &&
        api->dialect->read_routing(&routing, bbl_buf_str(&document)) == 0) {
        for (size_t i = 0;
             !found && (service = bbl_routing_service(routing, i)) != NULL;
             i++) {
            found = bbl_str_equal(service->name, name);
        }
    }
    bbl_routing_free(routing);
    bbl_buf_free(&document);
    return found;
}

/* Proposes an order; the call is answered when its outcome is known. */
static void
propose_rollout(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call,
                const bbl_rollout_order *order)
{
    pending_proposal pending = {0, call, BBL_OPERATOR_COMMAND_ROLL_OUT, 0};
    bblx_rollout r;

    memset(&r, 0, sizeof(r));
    r.service = borrow_label(&order->service);
    r.target = borrow_label(&order->target);
    r.duration_ms = order->duration_ms;
    pending.number = bbl_control_propose_rollout(api->control, now, &r);
    bbl_vec_push(&api->proposals, &pending);
}

static void
handle_roll_out(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call,
                const bbl_operator_command *operator_command)
{
    bbl_rollout_order order;

    if (refuse_given_up(now, call, operator_command)) {
        return;
    }
    if (api->dialect->read_rollout_order(
            &order, bbl_buf_str(&call->message->body)) != 0) {
        log_command(operator_command->kind, 0, 400, bbl_error_last());
        respond(call, 400, "the order is invalid");
        return;
    }
    if (has_service(api, bbl_buf_str(&order.service))) {
        propose_rollout(api, now, call, &order);
    }
    else if (bbl_control_leads(api->control, now)) {
        log_command(operator_command->kind, 0, 400, "unknown service");
        respond(call, 400, "unknown service");
    }
    else {
        redirect_to_leader(api, now, call); /* it has the newest routing */
    }
    bbl_buf_free(&order.service);
    bbl_buf_free(&order.target);
}

static void
handle_get_rollout(bbl_operator_api *api, bbl_usec now, bbl_edge_call *call,
                   const bbl_operator_command *operator_command)
{
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};
    const bblx_rollout *rollout;
    bbl_buf text = BBL_BUF_INIT;

    if (!bbl_control_leads(api->control, now)) {
        redirect_to_leader(api, now, call);
        return;
    }
    rollout = bbl_state_find_rollout(bbl_control_state(api->control),
                                     operator_command->service);
    if (rollout == NULL) {
        respond(call, 404, "no such rollout");
        return;
    }
    api->dialect->append_rollout(&text, rollout);
    r.fields = json_field;
    r.body = bbl_buf_str(&text);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&text);
}

/* ---- calls ---- */

void
bbl_operator_api_handle_call(bbl_operator_api *api, bbl_usec now,
                             bbl_edge_call *call)
{
    bbl_operator_command operator_command;

    api->commands_received++;
    api->dialect->read_operator_command(&operator_command, call->method,
                                        call->path);
    switch (operator_command.kind) {
    case BBL_OPERATOR_COMMAND_PUT_ROUTING:
        handle_put_routing(api, now, call, &operator_command);
        break;
    case BBL_OPERATOR_COMMAND_GET_ROUTING:
        handle_get_routing(api, now, call);
        break;
    case BBL_OPERATOR_COMMAND_EVACUATE:
    case BBL_OPERATOR_COMMAND_RESTORE:
        handle_evacuation(api, now, call, &operator_command);
        break;
    case BBL_OPERATOR_COMMAND_ROLL_OUT:
        handle_roll_out(api, now, call, &operator_command);
        break;
    case BBL_OPERATOR_COMMAND_GET_ROLLOUT:
        handle_get_rollout(api, now, call, &operator_command);
        break;
    default:
        respond(call, 404, "no such order");
        break;
    }
}

void
bbl_operator_api_cancel_call(bbl_operator_api *api, const bbl_edge_call *call)
{
    for (size_t i = 0; i < api->proposals.size; i++) {
        const pending_proposal *p = bbl_vec_at(&api->proposals, i);

        if (p->call == call) {
            withdraw_unversioned(api, p);
            log_command(p->kind, p->version, 0, "the operator has left");
            bbl_vec_swap_remove(&api->proposals, i);
            return;
        }
    }
}

void
bbl_operator_api_withdraw_abandoned(bbl_operator_api *api)
{
    for (size_t i = 0; i < api->proposals.size; i++) {
        const pending_proposal *p = bbl_vec_at(&api->proposals, i);

        if (!bbl_edge_call_is_awaited(p->call)) {
            withdraw_unversioned(api, p);
        }
    }
}

/* Returns the status of the response to a command with this outcome. */
static unsigned
get_outcome_status(bbl_operator_command_kind kind, int error)
{
    if (kind == BBL_OPERATOR_COMMAND_ROLL_OUT && error == BBL_EEXISTS) {
        return 409;
    }
    return error == 0 ? 200 : 503;
}

void
bbl_operator_api_complete_proposal(bbl_operator_api *api, uint64_t number,
                                   const bblx_propose_reply *reply)
{
    for (size_t i = 0; i < api->proposals.size; i++) {
        pending_proposal pending =
            *BBL_VEC_AT(pending_proposal, &api->proposals, i);
        unsigned status = get_outcome_status(pending.kind, reply->status);

        if (pending.number == number) {
            bbl_vec_swap_remove(&api->proposals, i);
            respond(pending.call, status,
                    status == 200   ? "recorded"
                    : status == 409 ? "another rollout is running"
                                    : "not known to be recorded");
            log_command(pending.kind, pending.version, status,
                        bbl_error_name(reply->status));
            return;
        }
    }
}
