/*
 * errors.h - error numbers and the per-thread error message.
 *
 * Functions return 0 for success or one of the negative numbers below. The
 * layer that fails sets the message once; callers pass the number up.
 */
#ifndef BBL_ERRORS_H
#define BBL_ERRORS_H

typedef enum {
    BBL_OK = 0,
    BBL_EINVAL = -1,      /* an argument or a field is out of range */
    BBL_ENOTFOUND = -2,   /* no such entity */
    BBL_EEXISTS = -3,     /* the entity is already there */
    BBL_ECONFLICT = -4,   /* the expected version is not the present one */
    BBL_EDAMAGED = -5,    /* stored or received bytes fail their check */
    BBL_EIO = -6,         /* a disk call failed */
    BBL_ENOSPACE = -7,    /* the disk is full */
    BBL_ENET = -8,        /* a network call failed */
    BBL_EAUTH = -9,       /* a peer's key, cluster or version is wrong */
    BBL_ENOTLEADER = -10, /* this host is not the leader */
    BBL_ETIMEOUT = -11,   /* the deadline has passed */
    BBL_EFULL = -12,      /* a bounded table is full */
    BBL_ELOCKED = -13     /* another process holds the data folder */
} bbl_error;

/*
 * Sets this thread's error message and returns `code`, so that a failing
 * function can end in `return bbl_error_set(BBL_EIO, "...")`.
 */
int bbl_error_set(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns this thread's last message; never NULL, valid until the next set. */
const char *bbl_error_last(void);

/* Returns a short static name for an error number. */
const char *bbl_error_name(int code);

#endif
