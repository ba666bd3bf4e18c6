#include "daemon/admin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "daemon/metrics.h"
#include "daemon/options.h"

typedef struct {
    uint64_t number;
    bbl_http_call *call;
} admin_proposal;

void
bbl_admin_init(bbl_admin *a, bbl_control *control, uint32_t host)
{
    a->control = control;
    a->host = host;
    a->proposals = (bbl_vec)BBL_VEC_INIT(admin_proposal);
}

void
bbl_admin_free(bbl_admin *a)
{
    for (size_t i = 0; i < a->proposals.size; i++) {
        bbl_http_call *call =
            BBL_VEC_AT(admin_proposal, &a->proposals, i)->call;

        bbl_http_call_set_error(call, 503, "unknown", "this host is stopping");
        bbl_http_call_resume(call);
    }
    bbl_vec_free(&a->proposals);
}

static void
respond_error(bbl_http_call *call, unsigned status, const char *outcome)
{
    char reason[512];

    snprintf(reason, sizeof(reason), "%s", bbl_error_last());
    bbl_http_call_set_error(call, status, outcome, reason);
    bbl_http_call_resume(call);
}

/* Responds with the leader's host to a command that only it can execute. */
static void
respond_not_leader(bbl_admin *a, bbl_usec now, bbl_http_call *call)
{
    bbl_control_status s;

    bbl_control_get_status(a->control, now, &s);
    call->status = 421;
    bbl_buf_printf(&call->response_body,
                   "{\"outcome\":\"not-leader\",\"leader\":%u}\n", s.leader);
    bbl_http_call_resume(call);
}

/* ---- the lists ---- */

static void
respond_lists(bbl_admin *a, bbl_http_call *call)
{
    const bbl_state *state = bbl_control_state(a->control);
    bbl_str plans;
    bbl_str allowances;

    bbl_state_get_list_texts(state, &plans, &allowances);
    bbl_buf_printf(&call->response_body, "{\"version\":%llu,\"plans\":",
                   (unsigned long long)bbl_state_lists_version(state));
    bbl_json_append_string(&call->response_body, plans);
    bbl_buf_append_cstr(&call->response_body, ",\"allowances\":");
    bbl_json_append_string(&call->response_body, allowances);
    bbl_buf_append_cstr(&call->response_body, "}\n");
    bbl_http_call_resume(call);
}

static int
parse_change(json_t *root, bblx_lists *c)
{
    json_int_t expected;
    const char *change;
    const char *plans;
    const char *allowances;
    size_t change_size;
    size_t plans_size;
    size_t allowances_size;

    if (json_unpack(root, "{s:I, s:s%, s:s%, s:s%}", "expected", &expected,
                    "change", &change, &change_size, "plans", &plans,
                    &plans_size, "allowances", &allowances,
                    &allowances_size) != 0 ||
        expected < 0 || change_size == 0 || change_size > BBL_NAME_MAX) {
        return bbl_error_set(BBL_EINVAL,
                             "expected, change, plans and allowances");
    }
    c->expected = (uint64_t)expected;
    c->change.bblx_name_len = (u_int)change_size;
    c->change.bblx_name_val = (char *)change;
    c->plans = bbl_wire_text_borrow((bbl_str){plans, plans_size});
    c->allowances =
        bbl_wire_text_borrow((bbl_str){allowances, allowances_size});
    return 0;
}

static int
encode_change(bbl_buf *out, json_t *root)
{
    bblx_command command;
    bbl_lists *lists = NULL;
    int error;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_LISTS;
    error = parse_change(root, &command.bblx_command_u.lists);
    if (error == 0) {
        error = bbl_lists_parse(
            &lists, bbl_wire_text_str(&command.bblx_command_u.lists.plans),
            bbl_wire_text_str(&command.bblx_command_u.lists.allowances));
    }
    bbl_lists_free(lists);
    if (error == 0) {
        error = BBL_XDR_ENCODE(out, bblx_command, &command);
    }
    return error;
}

static void
propose_lists(bbl_admin *a, bbl_usec now, bbl_http_call *call)
{
    json_t *root = json_loadb(call->body.ptr ? call->body.ptr : "",
                              call->body.size, 0, NULL);
    bbl_buf command = BBL_BUF_INIT;
    admin_proposal proposal = {0, call};

    if (encode_change(&command, root) != 0) {
        respond_error(call, 400, "refused");
    }
    else {
        /* Added first: the outcome may arrive during the propose call. */
        size_t index = a->proposals.size;

        bbl_vec_push(&a->proposals, &proposal);
        proposal.number =
            bbl_control_propose(a->control, now, bbl_buf_str(&command));
        BBL_VEC_AT(admin_proposal, &a->proposals, index)->number =
            proposal.number;
    }
    bbl_buf_free(&command);
    json_decref(root);
}

static void
respond_change(bbl_http_call *call, const bblx_propose_reply *r)
{
    static const char *const outcomes[] = {"accepted", "refused", "unknown"};
    int which = 1;

    call->status = 409;
    if (r->status == 0) {
        which = 0;
        call->status = 200;
    }
    else if (r->status == BBL_ETIMEOUT) {
        which = 2;
        call->status = 504;
    }
    bbl_buf_printf(&call->response_body,
                   "{\"outcome\":\"%s\",\"error\":\"%s\",\"version\":%llu}\n",
                   outcomes[which], bbl_error_name(r->status),
                   (unsigned long long)r->lists_version);
    bbl_http_call_resume(call);
}

bool
bbl_admin_complete_proposal(bbl_admin *a, uint64_t number,
                            const bblx_propose_reply *reply)
{
    for (size_t i = 0; i < a->proposals.size; i++) {
        admin_proposal *proposal = bbl_vec_at(&a->proposals, i);

        if (proposal->number == number) {
            bbl_http_call *call = proposal->call;

            bbl_vec_remove(&a->proposals, i);
            respond_change(call, reply);
            return true;
        }
    }
    return false;
}

static void
respond_in_force(bbl_admin *a, bbl_usec now, bbl_http_call *call,
                 const char *number)
{
    uint32_t waits_for;
    uint64_t version = strtoull(number, NULL, 10);
    int in_force = bbl_control_in_force(a->control, now, version, &waits_for);

    if (in_force < 0) {
        respond_not_leader(a, now, call);
        return;
    }
    bbl_buf_printf(&call->response_body,
                   "{\"version\":%llu,\"in_force\":%s,\"waits_for\":%u}\n",
                   (unsigned long long)version, in_force ? "true" : "false",
                   waits_for);
    bbl_http_call_resume(call);
}

/* ---- voters ---- */

static int
change_voter(bbl_admin *a, json_t *root)
{
    bbl_quorum *q = bbl_control_quorum(a->control);
    const char *op;
    const char *address = "";
    json_int_t host;
    bblx_address control;
    int error;

    if (json_unpack(root, "{s:s, s:I, s?s}", "op", &op, "host", &host,
                    "address", &address) != 0 ||
        host < 1 || host > 0x7fffffff) {
        return bbl_error_set(BBL_EINVAL, "op, host and address");
    }
    if (strcmp(op, "remove") == 0) {
        return bbl_quorum_remove_member(q, (uint32_t)host);
    }
    if (strcmp(op, "add") != 0) {
        return bbl_error_set(BBL_EINVAL, "op is add or remove");
    }
    error = bbl_address_parse(&control, address);
    if (error == 0) {
        error = bbl_quorum_add_learner(q, (uint32_t)host, control);
    }
    return error;
}

static void
handle_voters(bbl_admin *a, bbl_usec now, bbl_http_call *call)
{
    bbl_quorum *q = bbl_control_quorum(a->control);
    json_t *root;

    if (q == NULL || !bbl_quorum_has_leader_lease(q, now)) {
        respond_not_leader(a, now, call);
        return;
    }
    root = json_loadb(call->body.ptr ? call->body.ptr : "", call->body.size, 0,
                      NULL);
    if (change_voter(a, root) != 0) {
        respond_error(call, 409, "refused");
    }
    else {
        bbl_buf_append_cstr(&call->response_body,
                            "{\"outcome\":\"accepted\"}\n");
        bbl_http_call_resume(call);
    }
    json_decref(root);
}

/* ---- routes ---- */

static const char *
skip_prefix(const char *path, const char *prefix)
{
    size_t n = strlen(prefix);

    return strncmp(path, prefix, n) == 0 ? path + n : NULL;
}

void
bbl_admin_handle_call(bbl_admin *a, bbl_usec now, bbl_http_call *call)
{
    const char *path = call->path.ptr;
    const char *rest;
    bool post = strcmp(call->method.ptr, "POST") == 0;

    if (strcmp(path, "/v1/admin/lists") == 0 && post) {
        propose_lists(a, now, call);
    }
    else if (strcmp(path, "/v1/admin/lists") == 0) {
        respond_lists(a, call);
    }
    else if (strcmp(path, "/v1/admin/voters") == 0 && post) {
        handle_voters(a, now, call);
    }
    else if (strcmp(path, "/v1/admin/drain") == 0 && post) {
        bbl_buf_append_cstr(&call->response_body,
                            "{\"outcome\":\"accepted\"}\n");
        bbl_http_call_resume(call);
    }
    else if (strcmp(path, "/v1/admin/status") == 0) {
        bbl_status_render(&call->response_body, a->control, a->host, now);
        bbl_http_call_resume(call);
    }
    else if ((rest = skip_prefix(path, "/v1/admin/in-force/")) != NULL) {
        respond_in_force(a, now, call, rest);
    }
    else {
        bbl_http_call_set_error(call, 404, "bad-request", "no such command");
        bbl_http_call_resume(call);
    }
}
