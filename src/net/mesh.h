/*
 * mesh.h - one-way messages between daemons over TCP.
 *
 * Frames are XDR with ONC RPC record marking, each with a keyed hash over a
 * challenge of the receiver, a sequence number and the frame. Sending never
 * blocks. The receiver acknowledges counts of frames, so that a connection
 * that has gone silent is noticed and replaced; frames not acknowledged then
 * go out again on the new one, and the receiver drops duplicates. A message
 * is lost when its peer cannot be reached for `keep`.
 */
#ifndef BBL_MESH_H
#define BBL_MESH_H

#include "model/codec.h"
#include "net/loop.h"

#define BBL_MESH_KEY_BYTES 32

typedef struct {
    uint32_t host;
    uint64_t incarnation;
    bbl_name cluster;
    uint8_t key[BBL_MESH_KEY_BYTES];
    bblx_address listen_address;
    bbl_usec ack_timeout; /* silence of a connection with frames under way */
    bbl_usec frame_ttl;   /* how long a frame waits for a new connection */
    /* Takes in one message; `message` is released after the call. */
    void (*receive)(void *ctx, uint32_t from, uint64_t incarnation,
                    const bblx_message *message);
    void *ctx;
} bbl_mesh_options;

typedef struct {
    uint64_t frames_sent;
    uint64_t frames_received;
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t
        dropped_frames; /* frames lost with a connection or a full queue */
    uint64_t
        refused_connections; /* connections closed for their key or header */
    uint64_t silent_connections; /* connections replaced for their silence */
    uint64_t connects;
} bbl_mesh_counters;

typedef struct bbl_mesh bbl_mesh;

int bbl_mesh_open(bbl_mesh **out, bbl_loop *loop,
                  const bbl_mesh_options *options);
void bbl_mesh_free(bbl_mesh *mesh);

/* Sends a message to a host at an address. */
void bbl_mesh_send(bbl_mesh *mesh, bbl_usec now, uint32_t host,
                   bblx_address to, const bblx_message *message);

/* Writes what is queued, and replaces silent connections. */
void bbl_mesh_tick(bbl_mesh *mesh, bbl_usec now);

const bbl_mesh_counters *bbl_mesh_get_counters(const bbl_mesh *mesh);

/*
 * Decodes and checks one frame as received, for the mesh and the fuzzers.
 *
 * @return 0, BBL_EDAMAGED or BBL_EAUTH
 */
int bbl_mesh_decode_frame(const bbl_mesh_options *options, bbl_str bytes,
                          bblx_frame *frame);

#endif
