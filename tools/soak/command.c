#include "soak/command.h"

#include <stdio.h>

#include "net/address.h"
#include "soak/network.h"

#define COMMAND_PORT 8106
/* The time after which operators turn to another host. */
#define RESPONSE_TIMEOUT_US (1000 * BBL_USEC_PER_MS)
#define REDIRECTS_MAX 2

void
soak_command_client_open(soak_command_client *client,
                         bbl_backend_client *links)
{
    for (unsigned i = 0; i < SOAK_CONTROL_HOSTS_MAX; i++) {
        char text[32];
        bblx_address address;

        soak_network_format(text, sizeof(text), SOAK_NET_CONTROL, i + 1,
                            COMMAND_PORT);
        bbl_address_parse(&address, text);
        client->links[i] = bbl_backend_link_new(links, address, NULL);
        bbl_backend_link_set_limit(client->links[i], 8, false);
    }
}

static void
end_command(soak_command *command, unsigned status, bbl_str body)
{
    command->running = false;
    command->done(command->ctx, status, body);
}

/* Sets the target host to that of a redirect. Returns false if the location is
 * no control host or there were too many redirects. */
static bool
read_redirect(soak_command *command, const bbl_http_message *m)
{
    bbl_str location = bbl_http_message_field(m, "Location");
    char text[128];
    unsigned host;

    snprintf(text, sizeof(text), "%.*s", (int)location.size,
             location.ptr ? location.ptr : "");
    host = soak_network_parse_url(text, SOAK_NET_CONTROL);
    if (host < 1 || host > SOAK_CONTROL_HOSTS_MAX ||
        command->redirects >= REDIRECTS_MAX) {
        return false;
    }
    command->redirects++;
    command->target_host = host - 1;
    return true;
}

static void
on_response(void *ctx, const bbl_link_exchange_result *r)
{
    soak_command *command = ctx;
    unsigned status;

    command->exchange = NULL;
    if (r->exchange_outcome != BBL_LINK_RESPONSE) {
        end_command(command, 0, (bbl_str){"", 0});
        return;
    }
    status = bbl_http_message_status(r->message);
    if (status != 307) {
        end_command(command, status, bbl_buf_str(&r->message->body));
    }
    else if (!read_redirect(command, r->message)) {
        end_command(command, 0, (bbl_str){"", 0});
    }
}

static void
send_request(soak_command *command, bbl_usec now)
{
    bbl_link_exchange_request r = {.head = bbl_buf_str(&command->head),
                                   .body = bbl_buf_str(&command->body),
                                   .done = on_response,
                                   .ctx = command};

    command->sent_at = now;
    if (bbl_link_exchange_start(&command->exchange,
                                command->client->links[command->target_host],
                                now, &r) != 0) {
        command->exchange = NULL;
        end_command(command, 0, (bbl_str){"", 0});
    }
}

void
soak_command_send(soak_command *command, bbl_usec now, unsigned host,
                  const char *method, const char *path, bbl_str body)
{
    command->running = true;
    command->started_at = now;
    command->chosen_host = host;
    command->target_host = host;
    command->redirects = 0;
    bbl_buf_clear(&command->head);
    bbl_buf_clear(&command->body);
    bbl_buf_append(&command->body, body.ptr, body.size);
    bbl_buf_printf(&command->head, "%s %s HTTP/1.1\r\nHost: a\r\n", method,
                   path);
    if (body.size > 0) {
        bbl_buf_printf(&command->head,
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n",
                       body.size);
    }
    send_request(command, now);
}

void
soak_command_tick(soak_command *command, bbl_usec now)
{
    if (command->running && command->exchange == NULL) {
        send_request(command, now); /* to the target of the redirect */
    }
    else if (command->running &&
             now >= command->sent_at + RESPONSE_TIMEOUT_US) {
        bbl_link_exchange_abandon(command->exchange);
        command->exchange = NULL;
        end_command(command, 0, (bbl_str){"", 0});
    }
}

void
soak_command_free(soak_command *command)
{
    if (command->exchange != NULL) {
        bbl_link_exchange_abandon(command->exchange);
    }
    bbl_buf_free(&command->head);
    bbl_buf_free(&command->body);
}
