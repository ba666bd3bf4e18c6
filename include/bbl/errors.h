/*
 * errors.h - error codes and the per-thread error message.
 *
 * Functions that can fail return 0 on success or one of the negative codes
 * below. The function that detects an error sets the message; its callers only
 * pass the code on.
 */
#ifndef BBL_ERRORS_H
#define BBL_ERRORS_H

typedef enum {
    BBL_OK = 0,
    BBL_EINVAL = -1,      /* an argument or a field is invalid */
    BBL_ENOTFOUND = -2,   /* the entity does not exist */
    BBL_EEXISTS = -3,     /* the entity exists already */
    BBL_ECONFLICT = -4,   /* the expected version is not the current one */
    BBL_EDAMAGED = -5,    /* stored or received bytes are corrupt */
    BBL_EIO = -6,         /* a disk operation failed */
    BBL_ENOSPACE = -7,    /* the disk is full */
    BBL_ENET = -8,        /* a network operation failed */
    BBL_EAUTH = -9,       /* the peer has a wrong key, cluster or version */
    BBL_ENOTLEADER = -10, /* this host is not the leader */
    BBL_ETIMEOUT = -11,   /* the deadline has passed */
    BBL_EFULL = -12,      /* a table of fixed capacity is full */
    BBL_ELOCKED = -13     /* another process has locked the data folder */
} bbl_error;

/*
 * Sets the error message of the calling thread and returns `code`, so that a
 * failing function can end in `return bbl_error_set(BBL_EIO, "...")`.
 */
int bbl_error_set(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Returns the last message that the calling thread set, an empty string if
 * there is none. The next bbl_error_set of the thread overwrites it.
 */
const char *bbl_error_last(void);

/* Returns a short static name for an error code. */
const char *bbl_error_name(int code);

#endif
