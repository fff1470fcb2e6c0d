/* etcd v3's JSON format over the store: parses requests, writes answers. */
#ifndef FAKES_PLATFORM_ETCD_H
#define FAKES_PLATFORM_ETCD_H

#include <jansson.h>

#include "fakes/store.h"

/* Decodes a base64 member; the caller frees the result, empty when absent. */
char *etcdjson_bytes(const json_t *object, const char *name, size_t *len);

/* Returns a number, which may be written as a string; 0 when absent. */
uint64_t etcdjson_number(const json_t *object, const char *name);

json_t *etcdjson_header(uint64_t revision);
json_t *etcdjson_item(const struct memstore_item *item);

/* Each returns a new reference to the answer, or NULL for a failed call. */
json_t *etcdjson_range(const struct memstore *store, const json_t *request);
json_t *etcdjson_put(struct memstore *store, const json_t *request);
json_t *etcdjson_delete(struct memstore *store, const json_t *request);
json_t *etcdjson_txn(struct memstore *store, const json_t *request);

/* Returns NULL for a lease that does not exist. */
json_t *etcdjson_grant(struct memstore *store, const json_t *request,
		       apr_time_t now);
json_t *etcdjson_renew(struct memstore *store, const json_t *request,
		       apr_time_t now);
json_t *etcdjson_revoke(struct memstore *store, const json_t *request);

#endif
