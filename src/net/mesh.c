#include "net/mesh.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"
#include "util/log.h"
#include "util/map.h"
#include "util/vec.h"
#include "util/watch_clock.h"

#define RECORD_MARK_BYTES 4
#define MAC_BYTES 16
#define CHALLENGE_BYTES 16
#define ACK_BYTES 8
#define LAST_FRAGMENT 0x80000000u
#define FRAME_MAX_BYTES (256u << 20) /* a frame may hold a full snapshot */
#define QUEUE_MAX_BYTES (320u << 20) /* unacknowledged frames of one peer */
#define READ_CHUNK_BYTES 65536
#define CONNECT_TIMEOUT_US (250 * BBL_USEC_PER_MS)
#define RECONNECT_PAUSE_US (50 * BBL_USEC_PER_MS)
/*
 * The acknowledgement timeout of a link doubles with each silent connection in
 * a row, at most this often: a slow peer is not helped by new connections.
 */
#define ACK_TIMEOUT_DOUBLINGS_MAX 3

/* A challenge that starts with these bytes, followed by random ones, announces
 * that its sender also accepts the message kinds above BASE_KIND_MAX. Earlier
 * builds send a wholly random challenge, and close a connection that carries a
 * message of a kind unknown to them. */
#define EXTENDED_KINDS_MARK "bblx-k15"
#define EXTENDED_KINDS_MARK_BYTES 8
#define BASE_KIND_MAX BBLX_TRANSFER
#define EXTENDED_KIND_MAX BBLX_PERMIT_REPLY
/*
 * After its challenge, the receiver announces the greatest message kind that
 * it accepts, in the form of an acknowledgement: the mark in the upper half,
 * the kind in the lower one. Builds that know no announcement ignore an
 * acknowledgement of frames that they have not sent. To add a kind, raise
 * KIND_MAX.
 */
#define KIND_MARK 0xbb1c0000u
#define KIND_MAX BBLX_PRIORITY_REQUEST

/* A frame that the peer has not acknowledged. */
typedef struct {
    bbl_usec queued_at;
    uint32_t kind; /* only for a peer that accepts this kind */
    bbl_buf bytes;
} unacked_frame;

/*
 * The connection to a peer, which carries frames in this direction only, and
 * the frames that the peer has not acknowledged. The latter outlive the
 * connection.
 */
typedef struct {
    bbl_mesh *mesh;
    uint32_t host;
    bblx_address address;
    int fd;           /* -1: no connection */
    bool established; /* the challenge of the peer was received */
    uint32_t
        kind_max; /* greatest kind that the peer accepts; if established */
    uint8_t challenge[CHALLENGE_BYTES];
    bbl_buf input;
    bbl_buf output;
    bbl_vec unacked; /* unacked_frame, oldest first */
    size_t unacked_bytes;
    /* Number of unacknowledged frames that were appended to the output of
     * this connection; they are the first ones of `unacked`. */
    size_t unacked_written;
    uint64_t next_seq;    /* of the next frame on this connection, from 0 */
    uint64_t acked_count; /* frames of this connection acknowledged */
    uint64_t last_frame_id;
    /* Connections replaced for silence since the last acknowledgement. */
    unsigned silent_connections;
    /* Time, by the watch clock of the mesh, of the last acknowledgement, or
     * of a frame appended when all others were acknowledged. */
    bbl_usec last_progress;
    bbl_usec connect_started;
    bbl_usec next_connect; /* earliest time of the next attempt */
    bbl_usec now;          /* time of the last tick or bbl_mesh_send */
    /* Connections in a row that ended before they were established; only the
     * first one is logged. */
    uint64_t failed_connections;
} outgoing_link;

/* The last frame received from a host. */
typedef struct {
    uint64_t incarnation;
    uint64_t id;
    /* Number of the last connection that carried a frame of the incarnation.
     */
    uint64_t connection;
} last_frame;

/* A connection from a peer, which carries frames in that direction only. */
typedef struct {
    bbl_mesh *mesh;
    int fd;
    uint8_t challenge[CHALLENGE_BYTES];
    bbl_buf input;
    uint64_t next_seq;   /* expected next; also the acknowledged count */
    uint64_t number;     /* in the order in which connections were accepted */
    bool logged_earlier; /* a frame of an earlier process was logged */
    bool closed;         /* freed by the next tick */
} incoming_link;

struct bbl_mesh {
    bbl_loop *loop;
    bbl_mesh_options options;
    int listener;
    bbl_map outgoing;            /* host -> outgoing_link */
    bbl_vec incoming;            /* incoming_link * */
    uint64_t accepted;           /* connections so far */
    bbl_map last_frames;         /* host -> last_frame */
    bbl_watch_clock watch_clock; /* by which links count as silent */
    bbl_mesh_counters counters;
};

static bbl_usec
get_watched_time(const bbl_mesh *mesh, bbl_usec now)
{
    return bbl_watch_clock_get(&mesh->watch_clock, now,
                               bbl_loop_get_timeout(mesh->loop));
}

static void
set_nodelay(int fd)
{
    int one = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void
compute_mac(const bbl_mesh *mesh, const uint8_t *challenge, uint64_t seq,
            bbl_str frame, uint8_t *mac)
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, mesh->options.key, BBL_MESH_KEY_BYTES,
                            MAC_BYTES);
    crypto_generichash_update(&state, challenge, CHALLENGE_BYTES);
    crypto_generichash_update(&state, (const uint8_t *)&seq, sizeof(seq));
    crypto_generichash_update(&state, (const uint8_t *)frame.ptr, frame.size);
    crypto_generichash_final(&state, mac, MAC_BYTES);
}

/* ---- sending ---- */

/* Logs the end of a connection, before its state is reset. */
static void
log_disconnect(outgoing_link *l, const char *why)
{
    if (l->established || l->failed_connections == 0) {
        bbl_log(BBL_EV_PEER_DISCONNECTED,
                "peer=%u why=%s established=%s unacked=%zu", l->host, why,
                l->established ? "yes" : "no", l->unacked.size);
    }
    l->failed_connections = l->established ? 0 : l->failed_connections + 1;
}

/* Closes the connection; unacknowledged frames are kept. */
static void
outgoing_close(outgoing_link *l, bbl_usec now, const char *why)
{
    if (l->fd >= 0) {
        log_disconnect(l, why);
        bbl_loop_unwatch(l->mesh->loop, l->fd);
        close(l->fd);
    }
    l->fd = -1;
    l->established = false;
    l->unacked_written = 0;
    l->next_seq = 0;
    l->acked_count = 0;
    l->next_connect = now + RECONNECT_PAUSE_US;
    bbl_buf_clear(&l->input);
    bbl_buf_clear(&l->output);
}

/* Frees frames that were acknowledged or have expired. */
static void
remove_oldest_frames(outgoing_link *l, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        unacked_frame *f = bbl_vec_at(&l->unacked, i);

        l->unacked_bytes -= f->bytes.size;
        bbl_buf_free(&f->bytes);
    }
    l->unacked.size -= count;
    memmove(l->unacked.ptr,
            (char *)l->unacked.ptr + count * l->unacked.item_size,
            l->unacked.size * l->unacked.item_size);
    l->unacked_written -=
        count < l->unacked_written ? count : l->unacked_written;
}

/* Appends a frame with its record mark and keyed hash to the output. */
static void
append_frame(outgoing_link *l, bbl_str frame)
{
    uint8_t mac[MAC_BYTES];
    uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)(frame.size + MAC_BYTES));

    compute_mac(l->mesh, l->challenge, l->next_seq, frame, mac);
    bbl_buf_append(&l->output, &mark, RECORD_MARK_BYTES);
    bbl_buf_append(&l->output, mac, MAC_BYTES);
    bbl_buf_append(&l->output, frame.ptr, frame.size);
    if (l->next_seq == l->acked_count) {
        l->last_progress = get_watched_time(l->mesh, l->now);
    }
    l->next_seq++;
    l->mesh->counters.frames_sent++;
}

/* Drops a frame that this connection has not carried yet. */
static void
drop_unwritten_frame(outgoing_link *l, size_t at)
{
    unacked_frame *f = bbl_vec_at(&l->unacked, at);

    l->unacked_bytes -= f->bytes.size;
    bbl_buf_free(&f->bytes);
    bbl_vec_remove(&l->unacked, at);
    l->mesh->counters.dropped_frames++;
}

/* Appends the frames that this connection has not carried yet. */
static void
append_unwritten_frames(outgoing_link *l)
{
    while (l->established && l->unacked_written < l->unacked.size) {
        unacked_frame *f = bbl_vec_at(&l->unacked, l->unacked_written);

        if (f->kind > l->kind_max) {
            drop_unwritten_frame(l, l->unacked_written);
            continue;
        }
        append_frame(l, bbl_buf_str(&f->bytes));
        l->unacked_written++;
    }
}

static void
outgoing_flush(outgoing_link *l)
{
    while (l->established && l->output.size > 0) {
        ssize_t n = send(l->fd, l->output.ptr, l->output.size,
                         MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (n < 0) {
            outgoing_close(l, l->now, "send-failed");
            return;
        }
        l->mesh->counters.bytes_sent += (uint64_t)n;
        bbl_buf_consume(&l->output, (size_t)n);
    }
}

static void
read_acks(outgoing_link *l)
{
    while (l->established && l->input.size >= ACK_BYTES) {
        uint64_t acked;

        memcpy(&acked, l->input.ptr, ACK_BYTES);
        bbl_buf_consume(&l->input, ACK_BYTES);
        if (acked >> 32 == KIND_MARK) {
            l->kind_max = (uint32_t)acked;
            continue;
        }
        if (acked > l->acked_count && acked <= l->next_seq) {
            remove_oldest_frames(l, (size_t)(acked - l->acked_count));
            l->acked_count = acked;
            l->last_progress = get_watched_time(l->mesh, l->now);
            l->silent_connections = 0;
        }
    }
}

static void
read_challenge(outgoing_link *l)
{
    memcpy(l->challenge, l->input.ptr, CHALLENGE_BYTES);
    bbl_buf_consume(&l->input, CHALLENGE_BYTES);
    l->established = true;
    l->kind_max = memcmp(l->challenge, EXTENDED_KINDS_MARK,
                         EXTENDED_KINDS_MARK_BYTES) == 0
                      ? EXTENDED_KIND_MAX
                      : BASE_KIND_MAX;
    read_acks(l); /* the announcement arrives with the challenge */
    bbl_log(
        BBL_EV_PEER_CONNECTED,
        "peer=%u connect_ms=%llu failed_before=%llu waiting=%zu", l->host,
        (unsigned long long)((l->now - l->connect_started) / BBL_USEC_PER_MS),
        (unsigned long long)l->failed_connections, l->unacked.size);
    append_unwritten_frames(l);
}

static void
outgoing_ready(void *ctx, int fd, uint32_t events)
{
    outgoing_link *l = ctx;
    char chunk[4096];
    ssize_t n;

    l->now = bbl_loop_get_polled_at(l->mesh->loop);
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        outgoing_close(l, l->now, "reset");
        return;
    }
    if ((events & EPOLLIN) != 0) {
        n = recv(fd, chunk, sizeof(chunk), MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
            outgoing_close(l, l->now, "closed-by-peer");
            return;
        }
        if (n > 0) {
            bbl_buf_append(&l->input, chunk, (size_t)n);
        }
    }
    if (!l->established && l->input.size >= CHALLENGE_BYTES) {
        read_challenge(l);
    }
    read_acks(l);
    outgoing_flush(l);
}

static void
outgoing_connect(outgoing_link *l)
{
    struct sockaddr_in to = bbl_address_to_sockaddr(l->address);
    struct sockaddr_in from =
        bbl_address_to_sockaddr(l->mesh->options.listen_address);

    if (l->now < l->next_connect) {
        return;
    }
    l->next_connect = l->now + RECONNECT_PAUSE_US;
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (l->fd < 0) {
        return;
    }
    from.sin_port = 0;
    set_nodelay(l->fd);
    if (bind(l->fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
        (connect(l->fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
         errno != EINPROGRESS) ||
        bbl_loop_watch(l->mesh->loop, l->fd, EPOLLIN | EPOLLOUT | EPOLLET,
                       outgoing_ready, l) != 0) {
        close(l->fd);
        l->fd = -1;
        return;
    }
    l->connect_started = l->now;
    l->mesh->counters.connects++;
}

static outgoing_link *
get_outgoing_link(bbl_mesh *mesh, uint32_t host, bblx_address to, bbl_usec now)
{
    outgoing_link *l = bbl_map_get(&mesh->outgoing, host);

    if (l == NULL) {
        l = bbl_calloc(1, sizeof(*l));
        l->mesh = mesh;
        l->host = host;
        l->fd = -1;
        l->address = to;
        l->unacked = (bbl_vec)BBL_VEC_INIT(unacked_frame);
        bbl_map_set(&mesh->outgoing, host, l);
    }
    l->now = now;
    if (l->address.ip != to.ip || l->address.port != to.port) {
        outgoing_close(l, now, "new-address");
        l->address = to;
        l->next_connect = 0;
    }
    return l;
}

void
bbl_mesh_send(bbl_mesh *mesh, bbl_usec now, uint32_t host, bblx_address to,
              const bblx_message *message)
{
    outgoing_link *l = get_outgoing_link(mesh, host, to, now);
    unacked_frame f = {now, (uint32_t)message->kind, BBL_BUF_INIT};
    bblx_frame frame;

    memset(&frame, 0, sizeof(frame));
    frame.wire_version = BBLX_WIRE_VERSION;
    frame.cluster = bbl_name_to_wire(&mesh->options.cluster);
    frame.from = mesh->options.host;
    frame.to = host;
    frame.incarnation = mesh->options.incarnation;
    frame.id = ++l->last_frame_id;
    frame.body = *message;
    if (BBL_XDR_ENCODE(&f.bytes, bblx_frame, &frame) != 0 ||
        f.bytes.size > FRAME_MAX_BYTES ||
        l->unacked_bytes + f.bytes.size > QUEUE_MAX_BYTES) {
        mesh->counters.dropped_frames++;
        bbl_buf_free(&f.bytes);
        return;
    }
    bbl_vec_push(&l->unacked, &f);
    l->unacked_bytes += f.bytes.size;
    if (l->fd < 0) {
        outgoing_connect(l);
    }
    append_unwritten_frames(l);
}

/* Drops the frames that have waited longer than `frame_ttl`. */
static void
drop_expired_frames(outgoing_link *l, bbl_usec now)
{
    size_t expired = 0;

    if (l->established) {
        return; /* acknowledgements count the frames from the oldest one */
    }
    while (expired < l->unacked.size &&
           now > BBL_VEC_AT(unacked_frame, &l->unacked, expired)->queued_at +
                     l->mesh->options.frame_ttl) {
        expired++;
    }
    l->mesh->counters.dropped_frames += expired;
    remove_oldest_frames(l, expired);
}

static bbl_usec
get_ack_timeout(const outgoing_link *l)
{
    unsigned doublings = l->silent_connections < ACK_TIMEOUT_DOUBLINGS_MAX
                             ? l->silent_connections
                             : ACK_TIMEOUT_DOUBLINGS_MAX;

    return l->mesh->options.ack_timeout << doublings;
}

/*
 * Connects if frames are waiting, closes a connection that is not established
 * in time, and replaces one whose frames are not acknowledged.
 */
static void
outgoing_tick(outgoing_link *l, bbl_usec now)
{
    if (l->fd < 0) {
        drop_expired_frames(l, now);
        if (l->unacked.size > 0) {
            outgoing_connect(l);
        }
        return;
    }
    if (!l->established) {
        if (now > l->connect_started + CONNECT_TIMEOUT_US) {
            outgoing_close(l, now, "connect-timeout");
        }
        return;
    }
    if (l->next_seq > l->acked_count &&
        get_watched_time(l->mesh, now) >
            l->last_progress + get_ack_timeout(l)) {
        bbl_log(BBL_EV_PEER_SILENT, "peer=%u frames=%llu bytes=%zu", l->host,
                (unsigned long long)(l->next_seq - l->acked_count),
                l->unacked_bytes);
        l->silent_connections++;
        l->mesh->counters.silent_connections++;
        outgoing_close(l, now, "silent");
        l->next_connect = 0;
        drop_expired_frames(l, now);
        outgoing_connect(l);
    }
}

/* ---- receiving ---- */

int
bbl_mesh_decode_frame(const bbl_mesh_options *options, bbl_str bytes,
                      bblx_frame *frame)
{
    bbl_name cluster;
    int error;

    memset(frame, 0, sizeof(*frame));
    error = BBL_XDR_DECODE(frame, bblx_frame, bytes);
    if (error != 0) {
        return error;
    }
    bbl_name_from_wire(&cluster, &frame->cluster);
    if (frame->wire_version != BBLX_WIRE_VERSION ||
        !bbl_name_equal(&cluster, &options->cluster) ||
        frame->to != options->host) {
        BBL_XDR_FREE(bblx_frame, frame);
        return bbl_error_set(BBL_EAUTH,
                             "frame of another cluster, host or wire version");
    }
    return 0;
}

static void
refuse_connection(incoming_link *l, const char *why)
{
    l->closed = true;
    l->mesh->counters.refused_connections++;
    bbl_log(BBL_EV_PEER_REFUSED, "reason=\"%s\"", why);
}

static last_frame *
get_last_frame(bbl_mesh *mesh, uint32_t host)
{
    last_frame *seen = bbl_map_get(&mesh->last_frames, host);

    if (seen == NULL) {
        seen = bbl_calloc(1, sizeof(*seen));
        bbl_map_set(&mesh->last_frames, host, seen);
    }
    return seen;
}

/*
 * Returns whether a frame was sent by an earlier process of its host than the
 * one heard last. A process opens its connections after its predecessor has
 * ended, so the order of the connections tells; that of the incarnations does
 * not, as clocks may be set back.
 */
static bool
is_of_earlier_process(incoming_link *l, const last_frame *seen,
                      const bblx_frame *frame)
{
    if (frame->incarnation == seen->incarnation ||
        l->number > seen->connection) {
        return false;
    }
    l->mesh->counters.earlier_frames++;
    if (!l->logged_earlier) {
        l->logged_earlier = true;
        bbl_log(BBL_EV_PEER_EARLIER,
                "peer=%u incarnation=%llu heard_last=%llu", frame->from,
                (unsigned long long)frame->incarnation,
                (unsigned long long)seen->incarnation);
    }
    return true;
}

/*
 * Returns whether the frame was received before, or comes from an earlier
 * process of its host. Frames are sent again on a new connection after the
 * old one has failed or gone silent. Records any other frame as the last one.
 */
static bool
is_duplicate(incoming_link *l, const bblx_frame *frame)
{
    last_frame *seen = get_last_frame(l->mesh, frame->from);

    if (is_of_earlier_process(l, seen, frame) ||
        (frame->incarnation == seen->incarnation && frame->id <= seen->id)) {
        return true;
    }
    seen->incarnation = frame->incarnation;
    seen->id = frame->id;
    if (l->number > seen->connection) {
        seen->connection = l->number;
    }
    return false;
}

static void
receive_frame(incoming_link *l, bbl_str bytes)
{
    bbl_mesh *mesh = l->mesh;
    uint8_t mac[MAC_BYTES];
    bblx_frame frame;
    bbl_str body = {bytes.ptr + MAC_BYTES, bytes.size - MAC_BYTES};

    compute_mac(mesh, l->challenge, l->next_seq, body, mac);
    if (sodium_memcmp(mac, bytes.ptr, MAC_BYTES) != 0) {
        refuse_connection(l, "keyed hash of a frame does not match");
        return;
    }
    l->next_seq++;
    if (bbl_mesh_decode_frame(&mesh->options, body, &frame) != 0) {
        refuse_connection(l, bbl_error_last());
        return;
    }
    mesh->counters.frames_received++;
    if (is_duplicate(l, &frame)) {
        BBL_XDR_FREE(bblx_frame, &frame);
        return;
    }
    mesh->options.receive(mesh->options.ctx, frame.from, frame.incarnation,
                          &frame.body);
    BBL_XDR_FREE(bblx_frame, &frame);
}

static void
read_frames(incoming_link *l)
{
    size_t at = 0;

    while (!l->closed && l->input.size - at >= RECORD_MARK_BYTES) {
        uint32_t mark;
        uint32_t size;

        memcpy(&mark, l->input.ptr + at, RECORD_MARK_BYTES);
        mark = ntohl(mark);
        size = mark & ~LAST_FRAGMENT;
        if ((mark & LAST_FRAGMENT) == 0 || size < MAC_BYTES ||
            size > FRAME_MAX_BYTES) {
            refuse_connection(l, "invalid record mark");
            break;
        }
        if (l->input.size - at - RECORD_MARK_BYTES < size) {
            break;
        }
        receive_frame(l,
                      (bbl_str){l->input.ptr + at + RECORD_MARK_BYTES, size});
        at += RECORD_MARK_BYTES + size;
    }
    bbl_buf_consume(&l->input, at);
}

static void
incoming_ready(void *ctx, int fd, uint32_t events)
{
    incoming_link *l = ctx;
    char *end = bbl_buf_reserve(&l->input, READ_CHUNK_BYTES);
    ssize_t n = recv(fd, end, READ_CHUNK_BYTES, MSG_DONTWAIT);
    uint64_t before = l->next_seq;

    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR) ||
        (events & EPOLLERR) != 0) {
        l->closed = true;
    }
    if (n > 0) {
        l->mesh->counters.bytes_received += (uint64_t)n;
        l->input.size += (size_t)n;
        read_frames(l);
    }
    if (!l->closed && l->next_seq != before &&
        send(fd, &l->next_seq, ACK_BYTES, MSG_NOSIGNAL | MSG_DONTWAIT) !=
            ACK_BYTES) {
        l->closed = true;
    }
    if (l->closed) {
        bbl_loop_unwatch(l->mesh->loop, fd);
        close(fd);
        l->fd = -1;
    }
}

static void
listener_ready(void *ctx, int fd, uint32_t events)
{
    bbl_mesh *mesh = ctx;
    incoming_link *l;
    uint8_t greeting[CHALLENGE_BYTES + ACK_BYTES];
    uint64_t announced = (uint64_t)KIND_MARK << 32 | KIND_MAX;
    int peer = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    if (peer < 0) {
        return;
    }
    set_nodelay(peer);
    l = bbl_calloc(1, sizeof(*l));
    l->mesh = mesh;
    l->fd = peer;
    l->number = ++mesh->accepted;
    randombytes_buf(l->challenge, CHALLENGE_BYTES);
    memcpy(l->challenge, EXTENDED_KINDS_MARK, EXTENDED_KINDS_MARK_BYTES);
    memcpy(greeting, l->challenge, CHALLENGE_BYTES);
    memcpy(greeting + CHALLENGE_BYTES, &announced, ACK_BYTES);
    if (send(peer, greeting, sizeof(greeting), MSG_NOSIGNAL) !=
            (ssize_t)sizeof(greeting) ||
        bbl_loop_watch(mesh->loop, peer, EPOLLIN, incoming_ready, l) != 0) {
        close(peer);
        free(l);
        return;
    }
    bbl_vec_push(&mesh->incoming, &l);
}

static void
incoming_free(incoming_link *l)
{
    if (l->fd >= 0) {
        bbl_loop_unwatch(l->mesh->loop, l->fd);
        close(l->fd);
    }
    bbl_buf_free(&l->input);
    free(l);
}

/* ---- public ---- */

static int
open_listener(bbl_mesh *mesh)
{
    struct sockaddr_in sa =
        bbl_address_to_sockaddr(mesh->options.listen_address);
    int one = 1;

    mesh->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (mesh->listener < 0) {
        return bbl_error_set(BBL_ENET, "socket: %s", strerror(errno));
    }
    setsockopt(mesh->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(mesh->listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(mesh->listener, 1024) != 0) {
        return bbl_error_set(BBL_ENET, "cannot listen on port %u: %s",
                             mesh->options.listen_address.port,
                             strerror(errno));
    }
    return bbl_loop_watch(mesh->loop, mesh->listener, EPOLLIN, listener_ready,
                          mesh);
}

int
bbl_mesh_open(bbl_mesh **out, bbl_loop *loop, const bbl_mesh_options *options)
{
    bbl_mesh *mesh = bbl_calloc(1, sizeof(*mesh));
    int error;

    *out = NULL;
    mesh->loop = loop;
    mesh->options = *options;
    mesh->listener = -1;
    mesh->incoming = (bbl_vec)BBL_VEC_INIT(incoming_link *);
    error = sodium_init() < 0 ? bbl_error_set(BBL_EAUTH, "sodium_init")
                              : open_listener(mesh);
    if (error != 0) {
        bbl_mesh_free(mesh);
        return error;
    }
    *out = mesh;
    return 0;
}

void
bbl_mesh_free(bbl_mesh *mesh)
{
    outgoing_link *l;
    last_frame *seen;
    size_t pos = 0;

    if (mesh == NULL) {
        return;
    }
    while ((l = bbl_map_next(&mesh->outgoing, &pos)) != NULL) {
        outgoing_close(l, 0, "mesh-closed");
        bbl_buf_free(&l->input);
        bbl_buf_free(&l->output);
        remove_oldest_frames(l, l->unacked.size);
        bbl_vec_free(&l->unacked);
        free(l);
    }
    bbl_map_free(&mesh->outgoing);
    pos = 0;
    while ((seen = bbl_map_next(&mesh->last_frames, &pos)) != NULL) {
        free(seen);
    }
    bbl_map_free(&mesh->last_frames);
    for (size_t i = 0; i < mesh->incoming.size; i++) {
        incoming_free(*BBL_VEC_AT(incoming_link *, &mesh->incoming, i));
    }
    bbl_vec_free(&mesh->incoming);
    if (mesh->listener >= 0) {
        bbl_loop_unwatch(mesh->loop, mesh->listener);
        close(mesh->listener);
    }
    free(mesh);
}

void
bbl_mesh_tick(bbl_mesh *mesh, bbl_usec now)
{
    outgoing_link *l;
    size_t pos = 0;

    bbl_watch_clock_end_turn(&mesh->watch_clock, now,
                             bbl_loop_get_timeout(mesh->loop));
    while ((l = bbl_map_next(&mesh->outgoing, &pos)) != NULL) {
        l->now = now;
        outgoing_flush(l);
        outgoing_tick(l, now);
    }
    for (size_t i = mesh->incoming.size; i > 0; i--) {
        incoming_link *in =
            *BBL_VEC_AT(incoming_link *, &mesh->incoming, i - 1);

        if (in->closed) {
            incoming_free(in);
            bbl_vec_swap_remove(&mesh->incoming, i - 1);
        }
    }
}

size_t
bbl_mesh_get_backlog(const bbl_mesh *mesh, uint32_t host)
{
    const outgoing_link *l = bbl_map_get(&mesh->outgoing, host);

    return l != NULL ? l->unacked_bytes : 0;
}

bool
bbl_mesh_accepts_kind(const bbl_mesh *mesh, uint32_t host, bblx_kind kind)
{
    const outgoing_link *l = bbl_map_get(&mesh->outgoing, host);

    return l != NULL && (uint32_t)kind <= l->kind_max;
}

const bbl_mesh_counters *
bbl_mesh_get_counters(const bbl_mesh *mesh)
{
    return &mesh->counters;
}
