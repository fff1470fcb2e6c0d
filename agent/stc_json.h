/* JSON of the store's gateway (etcd v3): base64 bytes, numbers as strings. */
#ifndef AGENT_STC_JSON_H
#define AGENT_STC_JSON_H

#include <jansson.h>

#include "agent/stc.h"

/* Each returns a new reference, or NULL when memory is out. */
json_t *stc_json_bytes(struct str s);
json_t *stc_json_u64(uint64_t value);
/* First key after all that start with prefix (at most STC_KEY_MAX). */
json_t *stc_json_range_end(struct str prefix);
json_t *stc_json_compare(const struct stc_change *change);
json_t *stc_json_put(const struct stc_change *change, uint64_t lease);
json_t *stc_json_watch(struct str prefix, uint64_t after);

/* An absent number is 0. Returns 0 or PST_ERR_PROTOCOL. */
int stc_json_take_u64(const json_t *from, uint64_t *out);

/* Revision of an answer's header. Returns 0 or PST_ERR_PROTOCOL. */
int stc_json_take_revision(const json_t *answer, uint64_t *out);

/*
 * Items of a range's answer; what was taken before a failure is freed with
 * stc_list_free(). Returns 0, PST_ERR_PROTOCOL or PST_ERR_NOMEM.
 */
int stc_json_take_list(const json_t *answer, struct stc_list *out);

#endif
