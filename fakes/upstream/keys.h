/*
 * Counts the executions of each idempotency key, in a journal file that
 * outlives the process.
 */
#ifndef FAKES_UPSTREAM_KEYS_H
#define FAKES_UPSTREAM_KEYS_H

#include <jansson.h>

#include "common/str.h"

struct key_journal;

/*
 * Reads the journal at path, which is appended to from then on; NULL for no
 * file. Returns 0, PST_ERR_NOMEM or PST_ERR_IO.
 */
int key_journal_open(struct key_journal **out, const char *path);

/* Counts an execution that begins; returns the new count, or 0 on failure. */
uint64_t key_journal_add(struct key_journal *keys, struct str key);

/* Returns {"KEY":count,...}, owned by the caller. */
json_t *key_journal_dump(const struct key_journal *keys);

#endif
