/*
 * log.h - structured log lines, each a numbered event from one catalogue.
 *
 * A line is: time level number name key=value ... ; docs/LOG-EVENTS.md lists
 * the events and a test holds it equal to the table below. Lines go to
 * standard output. A daemon queues them and writes from its loops, so that a
 * reader who does not read delays nothing: lines over the budget or the
 * queue are dropped and counted.
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
    X(STOP, 1005, INFO, "stop", "the process ends")                           \
    X(FATAL, 1006, ERROR, "fatal", "the process cannot go on")                \
    X(LOST_LINES, 1007, WARN, "lost-lines",                                   \
      "log lines were dropped: over the budget, or nobody reads")             \
    X(RELOAD, 1008, INFO, "reload", "the settings file was read again")       \
    X(RELOAD_FAILED, 1009, ERROR, "reload-failed",                            \
      "the settings file is unusable; the old settings stay")                 \
    X(LEADER, 2001, INFO, "leader", "the leader of the quorum has changed")   \
    X(JOURNAL_FAILED, 2002, ERROR, "journal-failed",                          \
      "the disk failed; this host no longer votes")                           \
    X(JOURNAL_MADE, 2003, WARN, "journal-made",                               \
      "an empty journal was made; it votes once it is added")                 \
    X(LISTS, 2004, INFO, "lists", "a version of the lists is applied")        \
    X(LEASE_LOST, 2005, WARN, "lease-lost", "the lease of this host ran out") \
    X(ROUTING, 2006, INFO, "routing", "a version of the routing is in force") \
    X(ROUTING_REFUSED, 2007, WARN, "routing-refused",                         \
      "an operator sent an invalid routing document")                         \
    X(EVACUATION, 2008, INFO, "evacuation",                                   \
      "the set of data centres out of service has changed")                   \
    X(VOTERS, 2009, INFO, "voters", "the voters have changed")                \
    X(ORDER, 2010, INFO, "order", "an operator's order was answered")         \
    X(JOURNAL_REOPENED, 2011, WARN, "journal-reopened",                       \
      "the journal was opened again after a failure of the disk")             \
    X(CONTROL_LOST, 2012, WARN, "control-lost",                               \
      "no leader answers; the last known state is served")                    \
    X(CONTROL_FOUND, 2013, INFO, "control-found", "a leader answers again")   \
    X(ROUTING_IN_USE, 2014, INFO, "routing-in-use",                           \
      "requests follow a version of the routing from now on")                 \
    X(PEER_REFUSED, 3001, WARN, "peer-refused",                               \
      "a connection with a wrong key, cluster or version was closed")         \
    X(PEER_SILENT, 3002, WARN, "peer-silent",                                 \
      "a connection to a peer no longer acknowledges; it is replaced")        \
    X(PLATFORM, 3003, WARN, "platform", "the platform's list is unusable")    \
    X(CATALOG, 3004, INFO, "catalog", "the list of backend servers changed")  \
    X(CATALOG_FAILED, 3005, WARN, "catalog-failed",                           \
      "the list of backend servers could not be read")                        \
    X(SEARCHER, 4001, INFO, "searcher", "a searcher changed its phase")       \
    X(CONNECTION_SILENT, 4002, WARN, "connection-silent",                     \
      "a connection to a searcher made no progress; its mates are "           \
      "distrusted")                                                           \
    X(BACKEND, 4003, INFO, "backend", "a backend server changed its state")   \
    X(REQUEST, 5001, INFO, "request", "a request was answered")               \
    X(REQUEST_FAILED, 5002, WARN, "request-failed",                           \
      "a request was refused, failed or answered in part")                    \
    X(SECOND, 5003, INFO, "second", "a shard was asked a second time")

typedef enum {
#define BBL_LOG_ENUM(symbol, number, level, name, meaning)                    \
    BBL_EV_##symbol = number,
    BBL_LOG_EVENTS(BBL_LOG_ENUM)
#undef BBL_LOG_ENUM
} bbl_log_event;

/* One row of the catalogue. */
typedef struct {
    bbl_log_event number;
    bbl_log_level level;
    const char *name;
    const char *meaning;
} bbl_log_row;

/* Returns row `i` of the catalogue, or NULL past its end. */
const bbl_log_row *bbl_log_row_at(unsigned i);

/* Sets the least level that is written and this process's host id. */
void bbl_log_setup(bbl_log_level least, unsigned host);

/* Parses error, warn, info or debug; returns 0 or BBL_EINVAL. */
int bbl_log_level_parse(bbl_log_level *out, const char *text);

/*
 * Queues lines from now on instead of writing each at once.
 *
 * @param lines_per_s lines a second, half of them kept for what is not INFO
 */
void bbl_log_enable_queue(unsigned lines_per_s);

/* Writes what is queued, as far as the reader takes it. */
void bbl_log_flush(void);

/* Returns how many lines were dropped. */
uint64_t bbl_log_lost_lines(void);

/* Writes one event; `fmt` gives key=value pairs. */
void bbl_log(bbl_log_event event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
