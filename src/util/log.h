/*
 * log.h - structured log lines, each a numbered event from one catalogue.
 *
 * A line is: time level number name key=value ... ; docs/LOG-EVENTS.md lists
 * the events and a test holds it equal to the table below.
 */
#ifndef BBL_LOG_H
#define BBL_LOG_H

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
    X(LEADER, 2001, INFO, "leader", "the leader of the quorum has changed")   \
    X(JOURNAL_FAILED, 2002, ERROR, "journal-failed",                          \
      "the disk failed; this host no longer votes")                           \
    X(JOURNAL_MADE, 2003, WARN, "journal-made",                               \
      "an empty journal was made; it votes once it is added")                 \
    X(LISTS, 2004, INFO, "lists", "a version of the lists is applied")        \
    X(LEASE_LOST, 2005, WARN, "lease-lost", "the lease of this host ran out") \
    X(PEER_REFUSED, 3001, WARN, "peer-refused",                               \
      "a connection with a wrong key, cluster or version was closed")         \
    X(PEER_SILENT, 3002, WARN, "peer-silent",                                 \
      "a connection to a peer no longer acknowledges; it is replaced")        \
    X(PLATFORM, 3003, WARN, "platform", "the platform's list is unusable")    \
    X(SEARCHER, 4001, INFO, "searcher", "a searcher changed its phase")       \
    X(CONNECTION_SILENT, 4002, WARN, "connection-silent",                     \
      "a connection to a searcher made no progress; its mates are "           \
      "distrusted")

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

/* Writes one event to standard error; `fmt` gives key=value pairs. */
void bbl_log(bbl_log_event event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
