/*
 * JSON of the store's etcd v3 gateway: keys and values are base64, and 64-bit
 * numbers are strings.
 */
#ifndef AGENT_KVCLIENT_JSON_H
#define AGENT_KVCLIENT_JSON_H

#include <jansson.h>

#include "agent/kvclient.h"

/* These functions return a new reference, or NULL when memory is out. */
json_t *kvclient_json_bytes(struct str s);
json_t *kvclient_json_u64(uint64_t value);
/* First key after those with prefix, which has at most KVCLIENT_KEY_MAX bytes.
 */
json_t *kvclient_json_range_end(struct str prefix);
json_t *kvclient_json_compare(const struct kvclient_change *change);
json_t *kvclient_json_put(const struct kvclient_change *change, uint64_t lease);
json_t *kvclient_json_watch(struct str prefix, uint64_t after);

/* Reads a number, 0 if from is NULL. Returns 0 or PST_ERR_PROTOCOL. */
int kvclient_json_read_u64(const json_t *from, uint64_t *out);

/* Reads the revision in an answer's header. Returns 0 or PST_ERR_PROTOCOL. */
int kvclient_json_read_revision(const json_t *answer, uint64_t *out);

/*
 * Reads the items of the answer to a range request. The caller frees *out with
 * kvclient_list_free(), also on failure. Returns 0, PST_ERR_PROTOCOL or
 * PST_ERR_NOMEM.
 */
int kvclient_json_read_list(const json_t *answer, struct kvclient_list *out);

#endif
