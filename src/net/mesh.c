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

#define MARK_BYTES 4
#define MAC_BYTES 16
#define CHALLENGE_BYTES 16
#define ACK_BYTES 8
#define LAST_FRAGMENT 0x80000000u
#define FRAME_MAX (256u << 20) /* bytes, a whole snapshot included */
#define QUEUE_MAX (320u << 20) /* bytes queued to one peer */
#define READ_CHUNK 65536
#define CONNECT_TIMEOUT_US (250 * BBL_USEC_PER_MS)
#define RECONNECT_PAUSE_US (50 * BBL_USEC_PER_MS)
#define STALL_US (25 * BBL_USEC_PER_MS) /* a later tick was itself held up */

/* A frame that the peer has not acknowledged. */
typedef struct {
    bbl_usec queued;
    bbl_buf bytes;
} sent_frame;

/* A connection to a peer, used for sending only. */
typedef struct {
    bbl_mesh *mesh;
    uint32_t host;
    bblx_address address;
    int fd;    /* -1: closed */
    bool open; /* the challenge has come */
    uint8_t challenge[CHALLENGE_BYTES];
    bbl_buf in;
    bbl_buf out;
    bbl_vec unacked; /* sent_frame, oldest first */
    size_t unacked_bytes;
    size_t written; /* of the unacked ones, handed to this connection */
    uint64_t seq;   /* frames on this connection */
    uint64_t acked; /* of them */
    uint64_t next_id;
    bbl_usec progress; /* last acknowledgement or first open frame */
    bbl_usec began;
    bbl_usec not_before;
    bbl_usec now;
} link_out;

/* The last frame taken in from a host. */
typedef struct {
    uint64_t incarnation;
    uint64_t id;
} seen_frame;

/* A connection from a peer, used for receiving only. */
typedef struct {
    bbl_mesh *mesh;
    int fd;
    uint8_t challenge[CHALLENGE_BYTES];
    bbl_buf in;
    uint64_t seq;
    bool dead;
} link_in;

struct bbl_mesh {
    bbl_loop *loop;
    bbl_mesh_options options;
    int listener;
    bbl_map out;  /* host -> link_out */
    bbl_vec in;   /* link_in * */
    bbl_map seen; /* host -> seen_frame */
    bbl_usec ticked;
    bbl_usec trusted_from; /* silence is not judged before */
    bbl_mesh_counters counters;
};

static void
set_nodelay(int fd)
{
    int one = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void
make_mac(const bbl_mesh *mesh, const uint8_t *challenge, uint64_t seq,
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

/* Closes the connection; frames not acknowledged are kept. */
static void
link_close(link_out *l, bbl_usec now)
{
    if (l->fd >= 0) {
        bbl_loop_unwatch(l->mesh->loop, l->fd);
        close(l->fd);
    }
    l->fd = -1;
    l->open = false;
    l->written = 0;
    l->seq = 0;
    l->acked = 0;
    l->not_before = now + RECONNECT_PAUSE_US;
    bbl_buf_clear(&l->in);
    bbl_buf_clear(&l->out);
}

static void
drop_oldest(link_out *l, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        sent_frame *f = bbl_vec_at(&l->unacked, i);

        l->unacked_bytes -= f->bytes.size;
        bbl_buf_free(&f->bytes);
    }
    l->unacked.size -= count;
    memmove(l->unacked.ptr,
            (char *)l->unacked.ptr + count * l->unacked.item_size,
            l->unacked.size * l->unacked.item_size);
    l->written -= count < l->written ? count : l->written;
}

/* Appends a frame with its mark and keyed hash to the output. */
static void
write_frame(link_out *l, bbl_str frame)
{
    uint8_t mac[MAC_BYTES];
    uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)(frame.size + MAC_BYTES));

    make_mac(l->mesh, l->challenge, l->seq, frame, mac);
    bbl_buf_append(&l->out, &mark, MARK_BYTES);
    bbl_buf_append(&l->out, mac, MAC_BYTES);
    bbl_buf_append(&l->out, frame.ptr, frame.size);
    if (l->seq == l->acked) {
        l->progress = l->now;
    }
    l->seq++;
    l->mesh->counters.frames_sent++;
}

/* Hands the frames to the connection that it has not had yet. */
static void
write_frames(link_out *l)
{
    while (l->open && l->written < l->unacked.size) {
        sent_frame *f = bbl_vec_at(&l->unacked, l->written);

        write_frame(l, bbl_buf_str(&f->bytes));
        l->written++;
    }
}

static void
link_flush(link_out *l)
{
    while (l->open && l->out.size > 0) {
        ssize_t n =
            send(l->fd, l->out.ptr, l->out.size, MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (n < 0) {
            link_close(l, l->now);
            return;
        }
        l->mesh->counters.bytes_sent += (uint64_t)n;
        bbl_buf_consume(&l->out, (size_t)n);
    }
}

static void
link_opened(link_out *l)
{
    memcpy(l->challenge, l->in.ptr, CHALLENGE_BYTES);
    bbl_buf_consume(&l->in, CHALLENGE_BYTES);
    l->open = true;
    write_frames(l);
}

static void
take_acks(link_out *l)
{
    while (l->open && l->in.size >= ACK_BYTES) {
        uint64_t acked;

        memcpy(&acked, l->in.ptr, ACK_BYTES);
        bbl_buf_consume(&l->in, ACK_BYTES);
        if (acked > l->acked && acked <= l->seq) {
            drop_oldest(l, (size_t)(acked - l->acked));
            l->acked = acked;
            l->progress = l->now;
        }
    }
}

static void
link_ready(void *ctx, int fd, uint32_t events)
{
    link_out *l = ctx;
    char chunk[4096];
    ssize_t n;

    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        link_close(l, l->now);
        return;
    }
    if ((events & EPOLLIN) != 0) {
        n = recv(fd, chunk, sizeof(chunk), MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
            link_close(l, l->now);
            return;
        }
        if (n > 0) {
            bbl_buf_append(&l->in, chunk, (size_t)n);
        }
    }
    if (!l->open && l->in.size >= CHALLENGE_BYTES) {
        link_opened(l);
    }
    take_acks(l);
    link_flush(l);
}

static void
link_connect(link_out *l)
{
    struct sockaddr_in to = bbl_address_to_sockaddr(l->address);
    struct sockaddr_in from =
        bbl_address_to_sockaddr(l->mesh->options.listen_address);

    if (l->now < l->not_before) {
        return;
    }
    l->not_before = l->now + RECONNECT_PAUSE_US;
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
                       link_ready, l) != 0) {
        close(l->fd);
        l->fd = -1;
        return;
    }
    l->began = l->now;
    l->mesh->counters.connects++;
}

static link_out *
link_to(bbl_mesh *mesh, uint32_t host, bblx_address to, bbl_usec now)
{
    link_out *l = bbl_map_get(&mesh->out, host);

    if (l == NULL) {
        l = bbl_calloc(1, sizeof(*l));
        l->mesh = mesh;
        l->host = host;
        l->fd = -1;
        l->address = to;
        l->unacked = (bbl_vec)BBL_VEC_INIT(sent_frame);
        bbl_map_set(&mesh->out, host, l);
    }
    l->now = now;
    if (l->address.ip != to.ip || l->address.port != to.port) {
        link_close(l, now);
        l->address = to;
        l->not_before = 0;
    }
    return l;
}

void
bbl_mesh_send(bbl_mesh *mesh, bbl_usec now, uint32_t host, bblx_address to,
              const bblx_message *message)
{
    link_out *l = link_to(mesh, host, to, now);
    sent_frame f = {now, BBL_BUF_INIT};
    bblx_frame frame;

    memset(&frame, 0, sizeof(frame));
    frame.wire_version = BBLX_WIRE_VERSION;
    frame.cluster = bbl_name_to_wire(&mesh->options.cluster);
    frame.from = mesh->options.host;
    frame.to = host;
    frame.incarnation = mesh->options.incarnation;
    frame.id = ++l->next_id;
    frame.body = *message;
    if (BBL_XDR_ENCODE(&f.bytes, bblx_frame, &frame) != 0 ||
        f.bytes.size > FRAME_MAX ||
        l->unacked_bytes + f.bytes.size > QUEUE_MAX) {
        mesh->counters.dropped_frames++;
        bbl_buf_free(&f.bytes);
        return;
    }
    bbl_vec_push(&l->unacked, &f);
    l->unacked_bytes += f.bytes.size;
    if (l->fd < 0) {
        link_connect(l);
    }
    write_frames(l);
}

/* Gives up frames that are too old to be of use. */
static void
drop_stale(link_out *l, bbl_usec now)
{
    size_t stale = 0;

    if (l->open) {
        return; /* what is on its way must keep its place */
    }
    while (stale < l->unacked.size &&
           now > BBL_VEC_AT(sent_frame, &l->unacked, stale)->queued +
                     l->mesh->options.frame_ttl) {
        stale++;
    }
    l->mesh->counters.dropped_frames += stale;
    drop_oldest(l, stale);
}

/* Replaces a connection whose frames are not acknowledged. */
static void
check_silence(link_out *l, bbl_usec now)
{
    if (l->fd < 0) {
        drop_stale(l, now);
        if (l->unacked.size > 0) {
            link_connect(l);
        }
        return;
    }
    if (!l->open) {
        if (now > l->began + CONNECT_TIMEOUT_US) {
            link_close(l, now);
        }
        return;
    }
    if (l->seq > l->acked && now >= l->mesh->trusted_from &&
        now > l->progress + l->mesh->options.ack_timeout) {
        bbl_log(BBL_EV_PEER_SILENT, "peer=%u frames=%llu", l->host,
                (unsigned long long)(l->seq - l->acked));
        l->mesh->counters.silent_connections++;
        link_close(l, now);
        l->not_before = 0;
        drop_stale(l, now);
        link_connect(l);
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
        return bbl_error_set(BBL_EAUTH, "foreign cluster, host or version");
    }
    return 0;
}

static void
refuse_link(link_in *l, const char *why)
{
    l->dead = true;
    l->mesh->counters.refused_connections++;
    bbl_log(BBL_EV_PEER_REFUSED, "reason=\"%s\"", why);
}

/* Frames come again over a new connection when an old one went silent. */
static bool
is_duplicate(bbl_mesh *mesh, const bblx_frame *frame)
{
    seen_frame *seen = bbl_map_get(&mesh->seen, frame->from);

    if (seen == NULL) {
        seen = bbl_calloc(1, sizeof(*seen));
        bbl_map_set(&mesh->seen, frame->from, seen);
    }
    if (frame->incarnation < seen->incarnation ||
        (frame->incarnation == seen->incarnation && frame->id <= seen->id)) {
        return true;
    }
    seen->incarnation = frame->incarnation;
    seen->id = frame->id;
    return false;
}

static void
take_frame(link_in *l, bbl_str bytes)
{
    bbl_mesh *mesh = l->mesh;
    uint8_t mac[MAC_BYTES];
    bblx_frame frame;
    bbl_str body = {bytes.ptr + MAC_BYTES, bytes.size - MAC_BYTES};

    make_mac(mesh, l->challenge, l->seq, body, mac);
    if (sodium_memcmp(mac, bytes.ptr, MAC_BYTES) != 0) {
        refuse_link(l, "wrong key");
        return;
    }
    l->seq++;
    if (bbl_mesh_decode_frame(&mesh->options, body, &frame) != 0) {
        refuse_link(l, bbl_error_last());
        return;
    }
    mesh->counters.frames_received++;
    if (is_duplicate(mesh, &frame)) {
        BBL_XDR_FREE(bblx_frame, &frame);
        return;
    }
    mesh->options.receive(mesh->options.ctx, frame.from, frame.incarnation,
                          &frame.body);
    BBL_XDR_FREE(bblx_frame, &frame);
}

static void
take_frames(link_in *l)
{
    size_t at = 0;

    while (!l->dead && l->in.size - at >= MARK_BYTES) {
        uint32_t mark;
        uint32_t size;

        memcpy(&mark, l->in.ptr + at, MARK_BYTES);
        mark = ntohl(mark);
        size = mark & ~LAST_FRAGMENT;
        if ((mark & LAST_FRAGMENT) == 0 || size < MAC_BYTES ||
            size > FRAME_MAX) {
            refuse_link(l, "bad record mark");
            break;
        }
        if (l->in.size - at - MARK_BYTES < size) {
            break;
        }
        take_frame(l, (bbl_str){l->in.ptr + at + MARK_BYTES, size});
        at += MARK_BYTES + size;
    }
    bbl_buf_consume(&l->in, at);
}

static void
in_ready(void *ctx, int fd, uint32_t events)
{
    link_in *l = ctx;
    char *end = bbl_buf_reserve(&l->in, READ_CHUNK);
    ssize_t n = recv(fd, end, READ_CHUNK, MSG_DONTWAIT);
    uint64_t before = l->seq;

    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR) ||
        (events & EPOLLERR) != 0) {
        l->dead = true;
    }
    if (n > 0) {
        l->mesh->counters.bytes_received += (uint64_t)n;
        l->in.size += (size_t)n;
        take_frames(l);
    }
    if (!l->dead && l->seq != before &&
        send(fd, &l->seq, ACK_BYTES, MSG_NOSIGNAL | MSG_DONTWAIT) !=
            ACK_BYTES) {
        l->dead = true;
    }
    if (l->dead) {
        bbl_loop_unwatch(l->mesh->loop, fd);
        close(fd);
        l->fd = -1;
    }
}

static void
listener_ready(void *ctx, int fd, uint32_t events)
{
    bbl_mesh *mesh = ctx;
    link_in *l;
    int peer = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    if (peer < 0) {
        return;
    }
    set_nodelay(peer);
    l = bbl_calloc(1, sizeof(*l));
    l->mesh = mesh;
    l->fd = peer;
    randombytes_buf(l->challenge, CHALLENGE_BYTES);
    if (send(peer, l->challenge, CHALLENGE_BYTES, MSG_NOSIGNAL) !=
            CHALLENGE_BYTES ||
        bbl_loop_watch(mesh->loop, peer, EPOLLIN, in_ready, l) != 0) {
        close(peer);
        free(l);
        return;
    }
    bbl_vec_push(&mesh->in, &l);
}

static void
free_in(link_in *l)
{
    if (l->fd >= 0) {
        bbl_loop_unwatch(l->mesh->loop, l->fd);
        close(l->fd);
    }
    bbl_buf_free(&l->in);
    free(l);
}

/* ---- public ---- */

static int
listen_on(bbl_mesh *mesh)
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
        return bbl_error_set(BBL_ENET, "listen on port %u: %s",
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
    mesh->in = (bbl_vec)BBL_VEC_INIT(link_in *);
    error = sodium_init() < 0 ? bbl_error_set(BBL_EAUTH, "sodium_init")
                              : listen_on(mesh);
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
    link_out *l;
    seen_frame *seen;
    size_t pos = 0;

    if (mesh == NULL) {
        return;
    }
    while ((l = bbl_map_next(&mesh->out, &pos)) != NULL) {
        link_close(l, 0);
        bbl_buf_free(&l->in);
        bbl_buf_free(&l->out);
        drop_oldest(l, l->unacked.size);
        bbl_vec_free(&l->unacked);
        free(l);
    }
    bbl_map_free(&mesh->out);
    pos = 0;
    while ((seen = bbl_map_next(&mesh->seen, &pos)) != NULL) {
        free(seen);
    }
    bbl_map_free(&mesh->seen);
    for (size_t i = 0; i < mesh->in.size; i++) {
        free_in(*BBL_VEC_AT(link_in *, &mesh->in, i));
    }
    bbl_vec_free(&mesh->in);
    if (mesh->listener >= 0) {
        bbl_loop_unwatch(mesh->loop, mesh->listener);
        close(mesh->listener);
    }
    free(mesh);
}

void
bbl_mesh_tick(bbl_mesh *mesh, bbl_usec now)
{
    link_out *l;
    size_t pos = 0;

    if (mesh->ticked != 0 && now > mesh->ticked + STALL_US) {
        /* This thread was held up: acknowledgements may just be unread. */
        mesh->trusted_from = now + mesh->options.ack_timeout;
    }
    mesh->ticked = now;
    while ((l = bbl_map_next(&mesh->out, &pos)) != NULL) {
        l->now = now;
        link_flush(l);
        check_silence(l, now);
    }
    for (size_t i = mesh->in.size; i > 0; i--) {
        link_in *in = *BBL_VEC_AT(link_in *, &mesh->in, i - 1);

        if (in->dead) {
            free_in(in);
            bbl_vec_swap_remove(&mesh->in, i - 1);
        }
    }
}

const bbl_mesh_counters *
bbl_mesh_get_counters(const bbl_mesh *mesh)
{
    return &mesh->counters;
}
