/*
 * wire.x - messages between the processes of baobablatch, and the commands
 * of the replicated log. Durations are microseconds and relative, since
 * clocks are not shared.
 */

const BBLX_WIRE_VERSION = 2;
const BBLX_TEXT_MAX = 16777216;
const BBLX_ROWS_MAX = 262144;

typedef opaque bblx_name<31>;
typedef opaque bblx_label<127>;
typedef opaque bblx_text<BBLX_TEXT_MAX>;

struct bblx_address {
    unsigned int ip;   /* IPv4, host byte order */
    unsigned int port;
};

/* ---- the replicated log ---- */

enum bblx_voter_role {
    BBLX_LEARNER = 0,
    BBLX_VOTER = 1
};

struct bblx_voter {
    unsigned int host;
    unsigned hyper disk;  /* identity of the journal; 0: not yet known */
    bblx_voter_role role;
    bblx_address control;
};

struct bblx_voters {
    bblx_voter list<31>;
};

enum bblx_command_kind {
    BBLX_NOOP = 0,
    BBLX_LISTS = 1,
    BBLX_ASSIGN = 2,
    BBLX_CLAIM = 3,
    BBLX_OUTCOME = 4,
    BBLX_VOTERS = 5,
    BBLX_ROUTING = 6,
    BBLX_EVACUATE = 7
};

struct bblx_lists {
    unsigned hyper expected;  /* version the operator has seen */
    bblx_name change;         /* change id, for a resend */
    bblx_text plans;
    bblx_text allowances;
};

struct bblx_place {
    unsigned int searcher;
    bblx_name zone;           /* data centre */
    bblx_name service;
    bblx_address address;
    unsigned int slots;
    unsigned int connections;
    bool leaving;
};

struct bblx_assign {
    bblx_place place;
    unsigned int owner;       /* host id; 0: nobody */
    unsigned hyper incarnation;
    unsigned hyper epoch;     /* grows with each new owner of the searcher */
    unsigned int hold_us;     /* wait of the new owner; 0 after a hand-over */
    unsigned int next;        /* host that the owner shall hand over to */
    bool gone;                /* the searcher is no longer listed */
};

struct bblx_assigns {
    bblx_assign rows<BBLX_ROWS_MAX>;
};

struct bblx_claim {
    bblx_name customer;
    opaque request<64>;
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper nonce;     /* the same for a resend by that host */
    unsigned hyper time_ms;   /* wall clock of the leader */
};

struct bblx_outcome {
    bblx_name customer;
    opaque request<64>;
    unsigned hyper time_ms;
    bblx_text answer;
};

/* A routing document; the greatest version is in force. */
struct bblx_routing {
    unsigned hyper number;   /* version of the document */
    unsigned int size;        /* bytes of the document, inflated */
    bblx_text document;       /* as the operator sent it, deflated */
};

/* Takes a data centre out of service, or back into it. */
struct bblx_evacuate {
    bblx_name zone;
    bool out;
};

union bblx_command switch (bblx_command_kind kind) {
case BBLX_NOOP:
    void;
case BBLX_LISTS:
    bblx_lists lists;
case BBLX_ASSIGN:
    bblx_assigns assign;
case BBLX_CLAIM:
    bblx_claim claim;
case BBLX_OUTCOME:
    bblx_outcome outcome;
case BBLX_VOTERS:
    bblx_voters voters;
case BBLX_ROUTING:
    bblx_routing routing;
case BBLX_EVACUATE:
    bblx_evacuate evacuate;
};

struct bblx_entry {
    unsigned hyper index;
    unsigned hyper term;
    bblx_text data;           /* an encoded bblx_command */
};

struct bblx_change_record {
    bblx_name change;
    unsigned hyper digest;    /* hash of the two texts */
    unsigned hyper lists_version;
};

struct bblx_claim_record {
    bblx_claim claim;
    bool done;
    bblx_text answer;
};

/* Snapshot of the replicated state. */
struct bblx_state {
    unsigned hyper applied;
    unsigned hyper lists_version;
    unsigned hyper clock_ms;
    bblx_text plans;
    bblx_text allowances;
    bblx_change_record changes<8192>;
    bblx_assign assigns<BBLX_ROWS_MAX>;
    bblx_claim_record claims<4194304>;
    bblx_voters voters;
    bblx_routing routing;     /* number 0: none yet */
    bblx_name evacuated<64>;
};

/* ---- quorum messages ---- */

struct bblx_vote_request {
    unsigned hyper term;
    unsigned hyper last_index;
    unsigned hyper last_term;
    bool pre;
    bool transfer;            /* the leader of the last term asked for it */
};

/* The leader has stepped down and asks the receiver to campaign at once. */
struct bblx_transfer {
    unsigned hyper term;
};

struct bblx_vote_reply {
    unsigned hyper term;
    bool granted;
    bool pre;
    unsigned hyper disk;
};

struct bblx_append {
    unsigned hyper term;
    unsigned hyper prev_index;
    unsigned hyper prev_term;
    unsigned hyper commit;
    unsigned hyper round;
    bblx_entry entries<4096>;
};

struct bblx_append_reply {
    unsigned hyper term;
    bool success;
    unsigned hyper match;     /* last index known to match, or a hint */
    unsigned hyper round;
    unsigned hyper disk;
};

struct bblx_snapshot {
    unsigned hyper term;
    unsigned hyper round;
    unsigned hyper last_index;
    unsigned hyper last_term;
    bblx_voters voters;
    opaque data<1073741824>;
};

/* ---- membership, leases and distribution ---- */

enum bblx_phase {
    BBLX_COLD = 0,
    BBLX_WARM = 1,
    BBLX_LEAVING = 2,
    BBLX_HELD = 3,
    BBLX_DOWN = 4,
    BBLX_RELEASED = 5         /* handed over: the owner uses it no more */
};

struct bblx_index {
    unsigned hyper number;
    unsigned int total;       /* shards in this version */
    unsigned int first;       /* first shard of the searcher's service */
    unsigned int count;       /* shards of the service */
    unsigned int shards<4096>;
};

struct bblx_report {
    unsigned int searcher;
    unsigned hyper epoch;
    unsigned hyper serial;    /* grows with each report of the owner */
    unsigned hyper boot;
    bblx_phase phase;
    unsigned int limit;       /* requests the owner sends at once */
    bblx_index indexes<8>;
};

struct bblx_member_heartbeat {
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper seq;
    unsigned hyper applied;
    bool draining;
    bool released;            /* owns nothing any more */
    unsigned hyper disk;      /* identity of its journal; 0: no disk */
    bblx_name zone;
    bblx_address control;
    bblx_address traffic;
    bblx_address http;
};

struct bblx_heartbeat {
    unsigned hyper applied;       /* of the sender */
    unsigned hyper feed_boot;     /* incarnation of the feed followed */
    unsigned hyper feed_revision; /* last soft row seen from that feed */
    bblx_member_heartbeat beats<8192>;        /* own first, then relayed */
    bblx_report reports<BBLX_ROWS_MAX>;
};

struct bblx_grant {
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper seq;
    unsigned hyper required;  /* applied index needed for the lease */
    unsigned int lease_us;
};

struct bblx_member_row {
    unsigned int host;
    unsigned hyper incarnation;
    bool live;
    bool draining;
    bool entry;               /* takes callers; has no disk */
    bblx_name zone;
    bblx_address control;
    bblx_address traffic;
    unsigned hyper applied;
};

/* One backend server as the platform lists it. */
struct bblx_backend {
    bblx_label id;            /* of one incarnation */
    bblx_label service;
    bblx_name zone;
    bblx_address address;
    unsigned hyper born;      /* start of this incarnation; 0: not told */
    unsigned int slots;
    unsigned int cold_ms;     /* left of the cold start when sent */
    bool leaving;
    bool gone;                /* no longer listed */
};

struct bblx_feed {
    unsigned int leader;          /* host id; 0: not known */
    bblx_address leader_address;  /* ip 0: not known */
    unsigned hyper applied_after; /* the entries continue from this index */
    unsigned hyper applied;       /* index reached with these entries */
    unsigned hyper boot;          /* incarnation of the sender's feed */
    unsigned hyper rows_after;    /* the rows continue from this revision */
    unsigned hyper revision;
    bblx_grant grants<8192>;
    bool snapshot_set;
    bblx_text snapshot;           /* an encoded bblx_state, no claims */
    bblx_entry entries<4096>;
    bblx_report reports<BBLX_ROWS_MAX>;
    bblx_member_row members<8192>;
    bblx_backend backends<BBLX_ROWS_MAX>;
    unsigned int catalog_age_ms;  /* of the backends; UINT32_MAX: unknown */
};

struct bblx_propose {
    unsigned hyper number;
    bblx_text data;
};

struct bblx_propose_reply {
    unsigned hyper number;
    int status;               /* 0 or a negative error number */
    unsigned hyper index;
    unsigned hyper lists_version;
    bool fresh;               /* claim: this is the first one */
    bool done;                /* claim: an outcome is recorded */
    unsigned int leader;      /* where to go when status is BBL_ENOTLEADER */
    bblx_text answer;
};

/* ---- traffic ---- */

struct bblx_query_id {
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper seq;
};

struct bblx_sub {
    unsigned int sub;         /* number within the query */
    unsigned int shard;
    unsigned int searcher;
    bool hedge;               /* goes ahead in the queue */
    bool moved;               /* not to be sent back for a long queue */
};

struct bblx_sub_request {
    bblx_query_id query;
    unsigned hyper index_version;   /* index version */
    unsigned int deadline_us; /* time left when sent */
    unsigned int urgency;
    bool repeatable;
    bblx_name plan;
    bblx_text text;
    bblx_sub subs<65536>;
};

enum bblx_sub_status {
    BBLX_SUB_OK = 0,
    BBLX_SUB_NOT_RUN = 1,      /* refused or dropped before it ran */
    BBLX_SUB_VERSION_GONE = 2, /* the searcher lacks the index version */
    BBLX_SUB_FAILED = 3,       /* ran or may have run; no usable answer */
    BBLX_SUB_CANCELLED = 4,
    BBLX_SUB_TRUNCATED = 5,    /* the answer was cut or too large */
    BBLX_SUB_BUSY = 6,         /* sent back unrun: the queue is long */
    BBLX_SUB_SLOW = 7,         /* still runs, for longer than most */
    BBLX_SUB_STARTED = 8,      /* a hedge has begun to run */
    BBLX_SUB_LOST = 9          /* runs no more; its answer never came */
};

struct bblx_sub_result {
    unsigned hyper seq;       /* of the query */
    unsigned int sub;
    unsigned int searcher;
    bblx_sub_status status;
    unsigned hyper index_version;
    unsigned int service_us;  /* time at the searcher */
    bblx_text body;
};

/* Queued and running requests at one searcher, of all hosts. */
struct bblx_load {
    unsigned int searcher;
    unsigned int backlog;
};

struct bblx_sub_results {
    unsigned hyper incarnation; /* of the host that asked */
    bblx_sub_result results<65536>;
    bblx_load loads<4096>;      /* of all searchers of the owner */
};

struct bblx_sub_cancel {
    bblx_query_id query;
    unsigned int subs<65536>;
};

enum bblx_kind {
    BBLX_VOTE_REQUEST = 1,
    BBLX_VOTE_REPLY = 2,
    BBLX_APPEND = 3,
    BBLX_APPEND_REPLY = 4,
    BBLX_SNAPSHOT = 5,
    BBLX_HEARTBEAT = 6,
    BBLX_FEED = 7,
    BBLX_PROPOSE = 8,
    BBLX_PROPOSE_REPLY = 9,
    BBLX_SUB_REQUEST = 10,
    BBLX_SUB_RESULTS = 11,
    BBLX_SUB_CANCEL = 12,
    BBLX_TRANSFER = 13
};

union bblx_message switch (bblx_kind kind) {
case BBLX_VOTE_REQUEST:
    bblx_vote_request vote_request;
case BBLX_VOTE_REPLY:
    bblx_vote_reply vote_reply;
case BBLX_APPEND:
    bblx_append append;
case BBLX_APPEND_REPLY:
    bblx_append_reply append_reply;
case BBLX_SNAPSHOT:
    bblx_snapshot snapshot;
case BBLX_HEARTBEAT:
    bblx_heartbeat heartbeat;
case BBLX_FEED:
    bblx_feed feed;
case BBLX_PROPOSE:
    bblx_propose propose;
case BBLX_PROPOSE_REPLY:
    bblx_propose_reply propose_reply;
case BBLX_SUB_REQUEST:
    bblx_sub_request sub_request;
case BBLX_SUB_RESULTS:
    bblx_sub_results sub_results;
case BBLX_SUB_CANCEL:
    bblx_sub_cancel sub_cancel;
case BBLX_TRANSFER:
    bblx_transfer transfer;
};

struct bblx_frame {
    unsigned int wire_version;     /* BBLX_WIRE_VERSION */
    bblx_name cluster;
    unsigned int from;        /* host id */
    unsigned int to;
    unsigned hyper incarnation;
    unsigned hyper id;        /* grows by one a frame; tells duplicates */
    bblx_message body;
};
