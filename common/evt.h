/*
 * Numbered log events.
 *
 * Each event is declared once in schema/events and written as one line:
 * "TIME LEVEL module event=NNNN name key=value ...". A bounded ring keeps
 * the latest lines for "pstctl explain". All functions are thread-safe.
 *
 * A file that logs defines LOG_MODULE before its includes.
 */
#ifndef COMMON_EVT_H
#define COMMON_EVT_H

#include <stddef.h>

#include "common/str.h"

enum evt_level {
	EVT_ERROR,
	EVT_WARN,
	EVT_INFO,
	EVT_DEBUG,
};

enum evt_id {
#define X(number, symbol, name, level, keys, meaning, action) \
	EVT_ID_##symbol = (number),
#include "schema/events/all.def"
#undef X
};

/*
 * Starts logging to standard error at the named level ("error", "warn",
 * "info" or "debug"). Returns 0, or PST_ERR_INVALID for another name.
 */
int evt_init(const char *level);

/* Writes to the given file instead of standard error; for tests. */
void evt_redirect(void *file);

/*
 * Buffers lines for fd until evt_flush() instead of writing each one; for
 * single-threaded processes. When the buffer is full, lines are dropped and
 * counted. evt_recent() does not see buffered lines.
 */
void evt_buffer(int fd);

/* Writes the buffered lines, as far as fd accepts them without blocking. */
void evt_flush(void);

/* Stops logging and frees what evt_init() allocated. */
void evt_done(void);

/*
 * Copies the kept lines that contain needle, oldest first, each ending in a
 * newline, into out (NUL-terminated, cut at size). Returns bytes written.
 */
size_t evt_recent(struct str needle, char *out, size_t size);

/* Called through evt_log(). */
void evt_write(const char *module, enum evt_id id, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define evt_log(symbol, ...) evt_write(LOG_MODULE, EVT_ID_##symbol, __VA_ARGS__)

#endif
