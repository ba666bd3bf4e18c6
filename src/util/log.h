/*
 * log.h - structured log lines on standard output. Each line reports one of
 * the events in the table below:
 *
 *     TIME LEVEL NUMBER NAME host=ID key=value ...
 *
 * docs/LOG-EVENTS.md lists the events; a test compares it with the table.
 * A daemon calls bbl_log_enable_queue and writes the queued lines from an
 * event loop, so that a stalled reader never blocks it. Lines that exceed the
 * rate limit or do not fit into the queue are dropped and counted.
 */
#ifndef BBL_LOG_H
#define BBL_LOG_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    BBL_LOG_ERROR,
    BBL_LOG_WARN,
    BBL_LOG_INFO,
    BBL_LOG_DEBUG
} bbl_log_level;

/* X(symbol, number, level, name, meaning) */
#define BBL_LOG_EVENTS(X)                                                     \
    X(START, 1001, INFO, "start", "the process has started")                  \
    X(READY, 1002, INFO, "ready", "new work is accepted from now on")         \
    X(NOT_READY, 1003, WARN, "not-ready", "no new work is accepted")          \
    X(DRAIN, 1004, INFO, "drain", "a graceful shutdown has begun")            \
    X(STOP, 1005, INFO, "stop", "the process exits")                          \
    X(FATAL, 1006, ERROR, "fatal", "the process cannot continue")             \
    X(LOST_LINES, 1007, WARN, "lost-lines",                                   \
      "log lines were dropped: over the rate limit, or the reader is too "    \
      "slow")                                                                 \
    X(RELOAD, 1008, INFO, "reload", "the settings file was read again")       \
    X(RELOAD_FAILED, 1009, ERROR, "reload-failed",                            \
      "the settings file is invalid; the old settings stay in effect")        \
    X(LEADER, 2001, INFO, "leader", "the leader of the quorum has changed")   \
    X(JOURNAL_FAILED, 2002, ERROR, "journal-failed",                          \
      "a disk operation failed; this host no longer votes")                   \
    X(JOURNAL_MADE, 2003, WARN, "journal-made",                               \
      "an empty journal was created; this host votes once it is added")       \
    X(LISTS, 2004, INFO, "lists", "a version of the lists is applied")        \
    X(LEASE_LOST, 2005, WARN, "lease-lost",                                   \
      "the lease of this host has expired")                                   \
    X(ROUTING, 2006, INFO, "routing", "a version of the routing is applied")  \
    X(ROUTING_REFUSED, 2007, WARN, "routing-refused",                         \
      "an operator sent an invalid routing document")                         \
    X(EVACUATION, 2008, INFO, "evacuation",                                   \
      "the set of evacuated data centres has changed")                        \
    X(VOTERS, 2009, INFO, "voters", "the voters have changed")                \
    X(ORDER, 2010, INFO, "order", "an operator command was answered")         \
    X(JOURNAL_REOPENED, 2011, WARN, "journal-reopened",                       \
      "the journal was reopened after a disk failure")                        \
    X(CONTROL_LOST, 2012, WARN, "control-lost",                               \
      "no leader responds; the last known state stays in use")                \
    X(CONTROL_FOUND, 2013, INFO, "control-found", "a leader responds again")  \
    X(ROUTING_IN_USE, 2014, INFO, "routing-in-use",                           \
      "requests use another version of the routing from now on")              \
    X(PARENT, 2015, INFO, "parent",                                           \
      "this host sends its heartbeats to another host from now on")           \
    X(ROUTING_OLDER, 2016, WARN, "routing-older",                             \
      "an older routing than one received before is not used")                \
    X(ROLLOUT, 2017, INFO, "rollout",                                         \
      "the state or the share of a rollout has changed")                      \
    X(ROLLOUT_DECISION, 2018, INFO, "rollout-decision",                       \
      "this leader has decided on a step of a rollout")                       \
    X(ORGANISATIONS, 2019, INFO, "organisations",                             \
      "callers need a key from now on, or the organisations have changed")    \
    X(PEER_REFUSED, 3001, WARN, "peer-refused",                               \
      "a peer with a wrong key, cluster or version was rejected")             \
    X(PEER_SILENT, 3002, WARN, "peer-silent",                                 \
      "a peer stopped acknowledging frames; its connection is replaced")      \
    X(PEER_EARLIER, 3006, WARN, "peer-earlier",                               \
      "frames of an earlier process of a peer arrived late and were dropped") \
    X(PEER_CONNECTED, 3007, INFO, "peer-connected",                           \
      "a connection to a peer was established")                               \
    X(PEER_DISCONNECTED, 3008, INFO, "peer-disconnected",                     \
      "a connection to a peer ended, or could not be established")            \
    X(PLATFORM, 3003, WARN, "platform",                                       \
      "the platform's list of searchers cannot be used")                      \
    X(CATALOG, 3004, INFO, "catalog",                                         \
      "the list of backend servers is readable again, or skips other "        \
      "entries")                                                              \
    X(CATALOG_FAILED, 3005, WARN, "catalog-failed",                           \
      "the list of backend servers could not be read")                        \
    X(SEARCHER, 4001, INFO, "searcher",                                       \
      "the phase of a searcher has changed")                                  \
    X(CONNECTION_SILENT, 4002, WARN, "connection-silent",                     \
      "a connection to a searcher made no progress; the others are suspect")  \
    X(BACKEND, 4003, INFO, "backend",                                         \
      "the state of a backend server has changed")                            \
    X(RATE_LIMIT, 4004, INFO, "rate-limit",                                   \
      "a backend server limits the requests of all hosts together, or no "    \
      "longer does")                                                          \
    X(SERVER_ENDED, 4005, WARN, "server-ended",                               \
      "a backend server has ended while it ran a request")                    \
    X(REQUEST_BARRED, 4006, WARN, "request-barred",                           \
      "a request is refused from now on: servers have ended under copies of " \
      "it")                                                                   \
    X(REACH, 4007, WARN, "reach",                                             \
      "this host reaches more or fewer of the backend servers than before")   \
    X(BACKOFF, 4008, INFO, "backoff",                                         \
      "a backend server wants no request from this host for some time")       \
    X(SERVER_LEAVING, 4009, INFO, "server-leaving",                           \
      "a backend server has said that it is leaving")                         \
    X(SERVER_HEALTH, 4010, INFO, "server-health",                             \
      "entry hosts agree that a backend server is bad, or well again")        \
    X(MEMORY, 4011, WARN, "memory",                                           \
      "exchanges with a backend server or another entry host were ended, or " \
      "none is started, to save memory")                                      \
    X(REQUEST, 5001, INFO, "request", "a request was answered")               \
    X(REQUEST_FAILED, 5002, WARN, "request-failed",                           \
      "a request was refused, failed or answered partially")                  \
    X(SECOND, 5003, INFO, "second",                                           \
      "a request or a sub-request was sent again")                            \
    X(DELEGATED, 5004, INFO, "delegated",                                     \
      "a request was passed on to another entry host")                        \
    X(OVER_QUOTA, 5005, INFO, "over-quota",                                   \
      "requests of an organisation over its limit are refused")               \
    X(PRESSURE, 5006, WARN, "pressure",                                       \
      "servers refuse parts of queries for their load, or no longer do")

typedef enum {
#define BBL_LOG_ENUM(symbol, number, level, name, meaning)                    \
    BBL_EV_##symbol = number,
    BBL_LOG_EVENTS(BBL_LOG_ENUM)
#undef BBL_LOG_ENUM
} bbl_log_event;

/* One row of the event table. */
typedef struct {
    bbl_log_event number;
    bbl_log_level level;
    const char *name;
    const char *meaning;
} bbl_log_row;

/* Returns row `i` of the event table, or NULL past the last one. */
const bbl_log_row *bbl_log_row_at(unsigned i);

/*
 * Configures the log. Call it before other threads log.
 *
 * @param max_level least severe level that is written; initially BBL_LOG_INFO
 * @param host      host id, printed in every line
 */
void bbl_log_setup(bbl_log_level max_level, unsigned host);

/* Parses the name of a level; returns 0 or BBL_EINVAL. */
int bbl_log_level_parse(bbl_log_level *out, const char *text);

/*
 * From now on, queues lines for bbl_log_flush instead of writing them at once,
 * and limits their rate.
 *
 * @param lines_per_s maximum lines per second: one half for BBL_LOG_ERROR and
 *                    BBL_LOG_WARN, the other for less severe levels
 */
void bbl_log_enable_queue(unsigned lines_per_s);

/*
 * Writes queued lines as far as standard output accepts them without blocking,
 * and logs how many lines were dropped.
 */
void bbl_log_flush(void);

/* Returns the number of lines dropped since the start of the process. */
uint64_t bbl_log_lost_lines(void);

/*
 * Logs one event; a line that is too long is truncated.
 *
 * @param fmt printf format of the key=value pairs
 */
void bbl_log(bbl_log_event event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
