/*
 * command.h - sends the commands of the operator to control hosts and follows
 * their redirects.
 */
#ifndef BBL_SOAK_COMMAND_H
#define BBL_SOAK_COMMAND_H

#include "net/backend_link.h"
#include "soak/fleet.h"

/* The connections to all control hosts. */
typedef struct {
    bbl_backend_link *links[SOAK_CONTROL_HOSTS_MAX];
} soak_command_client;

/*
 * Called when a command has ended.
 *
 * @param status of the response; 0 if there was none in time
 * @param body   valid during the call
 */
typedef void (*soak_command_done)(void *ctx, unsigned status, bbl_str body);

/* A command that is sent repeatedly, one request at a time. Zero-initialise it
 * and set `client`, `done` and `ctx`. */
typedef struct {
    soak_command_client *client;
    soak_command_done done;
    void *ctx;
    bbl_usec started_at;  /* time of the first request */
    bbl_usec sent_at;     /* time of the last request */
    bool running;         /* whether `done` has not been called yet */
    unsigned chosen_host; /* control host of the first request */
    unsigned target_host; /* host of the last redirect, or chosen_host */
    /* Private. */
    bbl_link_exchange *exchange;
    unsigned redirects;
    bbl_buf head;
    bbl_buf body;
} soak_command;

void soak_command_client_open(soak_command_client *client,
                              bbl_backend_client *links);

/* Sends a command; no other one may be running. `body` is copied. */
void soak_command_send(soak_command *command, bbl_usec now, unsigned host,
                       const char *method, const char *path, bbl_str body);

/* Follows a redirect, and ends a command without a response in time. */
void soak_command_tick(soak_command *command, bbl_usec now);

/* Abandons the command if it is running, without a call of `done`. */
void soak_command_free(soak_command *command);

#endif
