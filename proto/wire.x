/*
 * wire.x - messages between the processes of baobablatch, and the commands
 * of the replicated log. Durations are in microseconds unless a field name
 * ends in _ms. Deadlines and leases are sent as durations, because the hosts
 * share no clock.
 */

const BBLX_WIRE_VERSION = 2;
const BBLX_TEXT_MAX = 16777216;
const BBLX_ROWS_MAX = 262144;
const BBLX_CRASH_GENERATIONS_MAX = 3;

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
    unsigned hyper disk;  /* identity of the journal; 0 until it is known */
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
    BBLX_EVACUATE = 7,
    BBLX_ROLLOUT = 8          /* earlier builds cannot decode it */
};

struct bblx_lists {
    unsigned hyper expected;  /* version that this change replaces */
    bblx_name change;         /* change id; identifies a retransmission */
    bblx_text plans;
    bblx_text allowances;
};

/* Where a searcher runs, as the platform lists it. */
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
    unsigned int owner;       /* host id; 0 when there is no owner */
    unsigned hyper incarnation; /* of the owner */
    unsigned hyper epoch;     /* grows with each new owner of the searcher */
    unsigned int takeover_delay_us; /* 0 after a handover */
    unsigned int next_owner;  /* host to hand over to; 0 for no handover */
    bool gone;                /* the platform no longer lists the searcher */
};

struct bblx_assigns {
    bblx_assign rows<BBLX_ROWS_MAX>;
};

struct bblx_claim {
    bblx_name customer;
    opaque request<64>;
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper nonce;     /* the same in each retransmission */
    unsigned hyper time_ms;   /* wall clock of the leader */
};

struct bblx_outcome {
    bblx_name customer;
    opaque request<64>;
    unsigned hyper time_ms;
    bblx_text answer;
};

/* A routing document; the one with the greatest version applies. */
struct bblx_routing {
    unsigned hyper number;   /* version of the document */
    unsigned int size;        /* size of the inflated document in bytes */
    bblx_text document;       /* as the operator sent it, deflated */
};

/* Withdraws a data centre from service, or restores it. */
struct bblx_evacuate {
    bblx_name zone;
    bool withdraw;            /* false restores the data centre */
};

enum bblx_rollout_state {
    BBLX_ROLLOUT_RUNNING = 0,
    BBLX_ROLLOUT_COMPLETED = 1,
    BBLX_ROLLOUT_ROLLED_BACK = 2,
    BBLX_ROLLOUT_FORGOTTEN = 3 /* removes the record of one that has ended */
};

/*
 * An order to move the requests of a service to servers of a version, or one
 * step of it. Wall clock times are those of the leader that recorded them.
 */
struct bblx_rollout {
    bblx_label service;
    bblx_label target;        /* version of the servers */
    unsigned hyper order;     /* log index of the order; 0 in the order */
    bblx_rollout_state state;
    unsigned int share;       /* of the target, in 1/10000 */
    unsigned hyper time_ms;   /* wall clock when it was recorded */
    unsigned int left_ms;     /* until the deadline, at that time */
    unsigned int duration_ms; /* of the whole order */
};

/* Follows a bblx_state in a snapshot if there is any rollout. */
struct bblx_rollouts {
    bblx_rollout list<256>;
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
case BBLX_ROLLOUT:
    bblx_rollout rollout;
};

/*
 * A proposed command without a version of its own. The leader refuses it with
 * BBL_ECONFLICT if its log has a later command of the kind than
 * `decided_at`; the index in the reply is the one to apply first.
 */
struct bblx_conditional_command {
    bblx_command command;
    unsigned hyper decided_at; /* index that the proposer had applied */
};

struct bblx_entry {
    unsigned hyper index;
    unsigned hyper term;
    bblx_text data;           /* an encoded bblx_command */
};

struct bblx_change_record {
    bblx_name change;
    unsigned hyper digest;    /* hash of plans and allowances */
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
    bblx_routing routing;     /* number 0 when there is no document yet */
    bblx_name evacuated<64>;
};

/* ---- quorum messages ---- */

struct bblx_vote_request {
    unsigned hyper term;
    unsigned hyper last_index;
    unsigned hyper last_term;
    bool pre_vote;
    bool transfer;            /* the last leader asked for this election */
};

/* A leader that stepped down asks the receiver to campaign at once. */
struct bblx_transfer {
    unsigned hyper term;
};

struct bblx_vote_reply {
    unsigned hyper term;
    bool granted;
    bool pre_vote;
    unsigned hyper disk;      /* identity of the journal */
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
    unsigned hyper match;     /* last matching index; a hint on failure */
    unsigned hyper round;
    unsigned hyper disk;      /* identity of the journal */
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
    BBLX_HELD = 3,            /* its owner waits for the takeover delay */
    BBLX_DOWN = 4,
    BBLX_RELEASED = 5,        /* its owner has handed it over */
    BBLX_RATE_LIMIT = 6,      /* a backend server's rate limit, see below */
    BBLX_CRASH = 7,           /* a request ended a server, see below */
    BBLX_HEALTH = 8,          /* a backend server has turned bad, see below */
    BBLX_VERSION = 9          /* the version of a server, see below */
};

struct bblx_index {
    unsigned hyper number;
    unsigned int total;       /* shards in this version */
    unsigned int first;       /* first shard of the searcher's service */
    unsigned int count;       /* shards of the service */
    unsigned int shards<4096>;
};

enum bblx_server_version {
    BBLX_VERSION_UNKNOWN = 0, /* the list contradicts itself */
    BBLX_VERSION_OTHER = 1,
    BBLX_VERSION_TARGET = 2
};

/*
 * What a host has observed of a searcher that it owns.
 *
 * With phase BBLX_RATE_LIMIT it is what any host has observed of a backend
 * server: boot is the key of the server, searcher the lower half of the key,
 * limit its rate in requests per 1000 s, UINT32_MAX for none.
 *
 * With phase BBLX_CRASH a server has ended while it ran a request: boot is the
 * fingerprint of the request, limit its generation, searcher a hash of both,
 * serial the wall clock in ms. With limit 0 a server has answered the request.
 *
 * With phase BBLX_HEALTH it is what any host has observed of the health of a
 * backend server: boot is the key of the server, searcher a hash of it, serial
 * the wall clock in ms. limit holds, from the lowest bit on: the level (2
 * bits), the cause (3), the slowness (7) and a hash of the host (16); see
 * forward/server_health.h.
 *
 * With phase BBLX_VERSION it is what the leader has read of a backend server
 * of a service under a rollout: boot is the key of the server, searcher a hash
 * of it, epoch the order of the rollout, limit a bblx_server_version.
 *
 * Hosts that do not know a phase pass such a report on.
 */
struct bblx_report {
    unsigned int searcher;
    unsigned hyper epoch;
    unsigned hyper serial;    /* grows with each report of the owner */
    unsigned hyper boot;
    bblx_phase phase;
    unsigned int limit;       /* requests that the owner keeps in flight */
    bblx_index indexes<8>;
};

/* Heartbeat of one member. */
struct bblx_member_heartbeat {
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper seq;
    unsigned hyper applied;
    bool draining;
    bool released;            /* the member uses no searcher any more */
    unsigned hyper disk;      /* identity of its journal; 0 without a disk */
    bblx_name zone;
    bblx_address control;
    bblx_address traffic;
    bblx_address http;
};

/* Heartbeats that a host sends to its parent, with reports of searchers. */
struct bblx_heartbeat {
    unsigned hyper applied;       /* index that the sender has applied */
    unsigned hyper feed_boot;     /* incarnation of the parent's feed */
    unsigned hyper feed_revision; /* last revision received in that feed */
    bblx_member_heartbeat heartbeats<8192>; /* the sender's comes first */
    bblx_report reports<BBLX_ROWS_MAX>;
};

/* Grants a lease in answer to the heartbeat with the same number. */
struct bblx_grant {
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper seq;
    unsigned hyper required;  /* index to apply before using the lease */
    unsigned int lease_us;
};

struct bblx_member_row {
    unsigned int host;
    unsigned hyper incarnation;
    bool live;
    bool draining;
    bool entry;               /* an entry host, without a disk */
    bblx_name zone;
    bblx_address control;
    bblx_address traffic;
    unsigned hyper applied;
};

/* One backend server as the platform lists it. */
struct bblx_backend {
    bblx_label id;            /* differs for each incarnation */
    bblx_label service;
    bblx_name zone;
    bblx_address address;
    unsigned hyper born;      /* start of this incarnation; 0 if unknown */
    unsigned int slots;
    unsigned int cold_ms;     /* time left of the cold start when sent */
    bool leaving;
    bool gone;                /* the platform no longer lists it */
};

/* One message of the change feed from a parent to a child. */
struct bblx_feed {
    unsigned int leader;          /* host id; 0 if unknown */
    bblx_address leader_address;  /* ip 0 if unknown */
    unsigned hyper applied_after; /* the entries continue from this index */
    unsigned hyper applied;       /* index reached with these entries */
    unsigned hyper boot;          /* incarnation of the sender's feed */
    unsigned hyper rows_after;    /* the rows continue from this revision */
    unsigned hyper revision;      /* revision reached with these rows */
    bblx_grant grants<8192>;
    bool snapshot_set;
    bblx_text snapshot;           /* an encoded bblx_state without claims */
    bblx_entry entries<4096>;
    bblx_report reports<BBLX_ROWS_MAX>;
    bblx_member_row members<8192>;
    bblx_backend backends<BBLX_ROWS_MAX>;
    unsigned int catalog_age_ms;  /* of the list; UINT32_MAX if unknown */
};

struct bblx_propose {
    unsigned hyper number;
    bblx_text data;           /* an encoded bblx_command or
                                 bblx_conditional_command */
};

struct bblx_propose_reply {
    unsigned hyper number;
    int status;               /* 0 or a negative error number */
    unsigned hyper index;
    unsigned hyper lists_version;
    bool fresh;               /* for a claim: it is the first one */
    bool done;                /* for a claim: an outcome is recorded */
    unsigned int leader;      /* leader to ask when status is BBL_ENOTLEADER */
    bblx_text answer;
};

/* ---- traffic ---- */

struct bblx_query_id {
    unsigned int host;
    unsigned hyper incarnation;
    unsigned hyper seq;
};

/* A sub-request: the part of a query for one shard. */
struct bblx_sub {
    unsigned int sub;         /* number within the query */
    unsigned int shard;
    unsigned int searcher;
    bool hedge;               /* queued ahead of ordinary sub-requests */
    bool moved;               /* never sent back because of a long queue */
};

struct bblx_sub_request {
    bblx_query_id query;
    unsigned hyper index_version;
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
    BBLX_SUB_BUSY = 6,         /* sent back unrun because of a long queue */
    BBLX_SUB_SLOW = 7,         /* still runs, for longer than most */
    BBLX_SUB_STARTED = 8,      /* a hedge has begun to run */
    BBLX_SUB_LOST = 9          /* runs no more; no answer was received */
};

struct bblx_sub_result {
    unsigned hyper seq;       /* sequence number of the query */
    unsigned int sub;
    unsigned int searcher;
    bblx_sub_status status;
    unsigned hyper index_version;
    unsigned int service_us;  /* time at the searcher */
    bblx_text body;
};

/* Requests of all hosts that are queued or running at one searcher. */
struct bblx_load {
    unsigned int searcher;
    unsigned int backlog;
};

struct bblx_sub_results {
    unsigned hyper incarnation; /* of the host that sent the query */
    bblx_sub_result results<65536>;
    bblx_load loads<4096>;      /* one for each searcher of the owner */
};

struct bblx_sub_cancel {
    bblx_query_id query;
    unsigned int subs<65536>;
};

/* ---- permits for servers that limit their request rate ---- */

/*
 * A server that would do for one request. Of the servers with one group, the
 * first that has a permit left is taken.
 */
struct bblx_permit_item {
    unsigned hyper server;        /* key of the server */
    unsigned int group;
    unsigned int rate;            /* requests per 1000 s, from all hosts */
};

struct bblx_permit_request {
    unsigned hyper number;
    bblx_address control;         /* of the sender, for the reply */
    bool urgent;
    unsigned int needed;          /* with permits for fewer groups, none */
    bblx_permit_item items<BBLX_ROWS_MAX>; /* ordered by group */
};

struct bblx_permit_result {
    unsigned hyper server;
    bool granted;
    unsigned int wait_us;         /* until the next permit, if refused */
};

struct bblx_permit_reply {
    unsigned hyper number;
    bblx_permit_result results<BBLX_ROWS_MAX>;
};

/* ---- admission of queries: quotas of organisations, and load ---- */

/* What a request for admission asks for. */
enum bblx_admission_subject {
    BBLX_ADMISSION_QUOTA = 1,
    BBLX_ADMISSION_LOAD = 2
};

struct bblx_admission_quota {
    unsigned hyper organisation;  /* hash of its name */
    double rate;                  /* requests per second, of all hosts */
    double burst;                 /* requests */
    unsigned hyper routing;       /* version that states rate and burst */
};

struct bblx_admission_load {
    unsigned hyper resource;      /* the set of shards */
    unsigned int slots;           /* of one shard, all its servers */
    unsigned int priority;        /* 0 is the most urgent */
    unsigned int shards;
    unsigned hyper work_us;       /* shards x expected time of a part */
    unsigned int target_us;       /* time left when sent */
    unsigned int deadline_us;     /* time left when sent */
    unsigned int wait_us;         /* longest wait for the reply */
};

union bblx_admission_item switch (bblx_admission_subject subject) {
case BBLX_ADMISSION_QUOTA:
    bblx_admission_quota quota;
case BBLX_ADMISSION_LOAD:
    bblx_admission_load load;
};

struct bblx_admission_request {
    unsigned hyper number;        /* unique among the requests of a host */
    bblx_address control;         /* of the sender, for the reply */
    bblx_admission_item item;
};

/* A request for a token of an organisation. Among its requests the priority of
 * their routes decides, whatever its own is. */
struct bblx_priority_request {
    bblx_admission_request request;
    unsigned int priority;        /* of the route; 0 is the most urgent */
};

enum bblx_admission_outcome {
    BBLX_ADMITTED = 0,
    BBLX_OVER_QUOTA = 1,
    BBLX_OVERLOAD = 2,
    BBLX_WAITS = 3                /* for load: a second reply follows */
};

/* Why a request is refused for load. */
enum bblx_overload_reason {
    BBLX_OVERLOAD_NONE = 0,
    BBLX_OVERLOAD_QUEUE = 1,      /* its wait would be too long, or was */
    BBLX_OVERLOAD_DEADLINE = 2    /* it could not meet its deadline */
};

struct bblx_admission_reply {
    unsigned hyper number;
    bblx_admission_outcome outcome;
    unsigned int wait_us;         /* before the next try, if not admitted */
    unsigned int ask_us;          /* the host asks for load for so long */
    unsigned int left_per_1000;   /* of this grantor's share of the burst */
    /* For load, to explain the outcome. */
    bblx_overload_reason reason;
    unsigned int limit;           /* queries in flight, of all hosts */
    unsigned int in_flight;
    unsigned int waiting;
};

/* How a query ended that was admitted. It has no reply. */
struct bblx_admission_report {
    unsigned hyper number;        /* of the request that was admitted */
    unsigned hyper resource;      /* for load; otherwise 0 */
    unsigned int parts_sent;
    unsigned int parts_refused;
    unsigned int time_us;         /* that the query took */
    unsigned hyper organisation;  /* whose token is returned; 0: none */
};

/* ---- rollouts ---- */

/* First attempts at the servers of one service, by route and version. */
struct bblx_rollout_count {
    unsigned hyper order;     /* of the rollout */
    unsigned hyper route;     /* hash of the name */
    bool target;              /* at servers of the target version */
    unsigned hyper ended;     /* attempts that were run */
    unsigned hyper failed;
    unsigned hyper slow;
    unsigned hyper refused;   /* not in `ended` */
};

/* What an entry host has counted since its start, for the leader. */
struct bblx_rollout_counts {
    unsigned hyper incarnation;
    unsigned hyper orders<256>; /* of the rollouts that the host applies */
    bblx_rollout_count rows<8192>;
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
    BBLX_TRANSFER = 13,
    /* Only for hosts that announce the kinds above BBLX_TRANSFER, see mesh.c. */
    BBLX_PERMIT_REQUEST = 14,
    BBLX_PERMIT_REPLY = 15,
    BBLX_ADMISSION_REQUEST = 16,
    BBLX_ADMISSION_REPLY = 17,
    BBLX_ADMISSION_REPORT = 18,
    BBLX_ROLLOUT_COUNTS = 19,
    BBLX_PRIORITY_REQUEST = 20
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
case BBLX_PERMIT_REQUEST:
    bblx_permit_request permit_request;
case BBLX_PERMIT_REPLY:
    bblx_permit_reply permit_reply;
case BBLX_ADMISSION_REQUEST:
    bblx_admission_request admission_request;
case BBLX_ADMISSION_REPLY:
    bblx_admission_reply admission_reply;
case BBLX_ADMISSION_REPORT:
    bblx_admission_report admission_report;
case BBLX_ROLLOUT_COUNTS:
    bblx_rollout_counts rollout_counts;
case BBLX_PRIORITY_REQUEST:
    bblx_priority_request priority_request;
};

struct bblx_frame {
    unsigned int wire_version;     /* BBLX_WIRE_VERSION */
    bblx_name cluster;
    unsigned int from;        /* host id */
    unsigned int to;
    unsigned hyper incarnation;
    unsigned hyper id;        /* grows by one per frame; marks duplicates */
    bblx_message body;
};
