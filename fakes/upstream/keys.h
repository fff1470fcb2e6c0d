/*
 * Executions of each idempotency key, kept in a journal file so that they
 * outlive the process.
 */
#ifndef FAKES_UPSTREAM_KEYS_H
#define FAKES_UPSTREAM_KEYS_H

#include <jansson.h>

#include "common/str.h"

struct key;

/* Reads path, if any, and appends to it; NULL keeps no file. */
int key_open(struct key **out, const char *path);

/* Counts an execution before it has an effect; returns the new count. */
uint64_t key_count(struct key *keys, struct str key);

/* Returns {"KEY":count,...}, owned by the caller. */
json_t *key_dump(const struct key *keys);

#endif
