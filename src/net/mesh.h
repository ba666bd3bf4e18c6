/*
 * mesh.h - one-way messages between daemons over TCP.
 *
 * Frames are XDR with ONC RPC record marking. Each carries a keyed hash over
 * a challenge of the receiver, a sequence number and the frame. Sending never
 * blocks. The receiver acknowledges the number of frames received, so that a
 * connection that has gone silent is detected and replaced; unacknowledged
 * frames are sent again on the new connection, and the receiver drops
 * duplicates. A message is lost if its peer cannot be reached within
 * `frame_ttl`, if it is too large or if the queue to its peer is full.
 *
 * A mesh belongs to one thread, the one that runs its loop.
 */
#ifndef BBL_MESH_H
#define BBL_MESH_H

#include "model/codec.h"
#include "net/loop.h"

#define BBL_MESH_KEY_BYTES 32

typedef struct {
    uint32_t host;        /* id of this host */
    uint64_t incarnation; /* of this process; differs from earlier ones */
    bbl_name cluster;     /* frames of other clusters are rejected */
    uint8_t key[BBL_MESH_KEY_BYTES]; /* shared by all hosts of the cluster */
    bblx_address listen_address;
    /* A connection without an acknowledgement for this long, while frames
     * are unacknowledged, is replaced. The time doubles while a peer stays
     * silent. */
    bbl_usec ack_timeout;
    /* A frame that has waited longer than this is dropped while there is no
     * connection. */
    bbl_usec frame_ttl;
    /* Receives one message; `message` is freed after the call. */
    void (*receive)(void *ctx, uint32_t from, uint64_t incarnation,
                    const bblx_message *message);
    void *ctx;
} bbl_mesh_options;

typedef struct {
    uint64_t frames_sent;
    uint64_t frames_received;
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t dropped_frames;      /* expired, too large or queue full */
    uint64_t refused_connections; /* closed for a wrong key or header */
    uint64_t earlier_frames; /* of earlier processes of their hosts; dropped */
    uint64_t silent_connections; /* replaced for lack of acknowledgements */
    uint64_t connects;           /* attempts to open a connection */
} bbl_mesh_counters;

typedef struct bbl_mesh bbl_mesh;

/*
 * Creates a mesh and listens for peers.
 *
 * @param out     the mesh, freed with bbl_mesh_free; NULL on failure
 * @param loop    must outlive the mesh
 * @param options copied
 * @return 0, BBL_ENET, BBL_EIO or BBL_EAUTH
 */
int bbl_mesh_open(bbl_mesh **out, bbl_loop *loop,
                  const bbl_mesh_options *options);

/* Closes all connections; frames still queued are lost. */
void bbl_mesh_free(bbl_mesh *mesh);

/*
 * Queues a message to a host; the next tick writes it. Connects if there is
 * no connection to the host, and reconnects if its address has changed.
 */
void bbl_mesh_send(bbl_mesh *mesh, bbl_usec now, uint32_t host,
                   bblx_address to, const bblx_message *message);

/* Returns the bytes of the frames that a host has not acknowledged. */
size_t bbl_mesh_get_backlog(const bbl_mesh *mesh, uint32_t host);

/*
 * Returns whether a host has announced, on the last connection to it that was
 * established, that it accepts a message kind.
 */
bool bbl_mesh_accepts_kind(const bbl_mesh *mesh, uint32_t host,
                           bblx_kind kind);

/* Writes queued frames, and replaces silent connections. */
void bbl_mesh_tick(bbl_mesh *mesh, bbl_usec now);

const bbl_mesh_counters *bbl_mesh_get_counters(const bbl_mesh *mesh);

/*
 * Decodes a received frame and checks its version, cluster and destination.
 * Exported for the fuzzers.
 *
 * @param frame on success freed by the caller with BBL_XDR_FREE
 * @return 0, BBL_EDAMAGED or BBL_EAUTH
 */
int bbl_mesh_decode_frame(const bbl_mesh_options *options, bbl_str bytes,
                          bblx_frame *frame);

#endif
