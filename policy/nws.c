#include "policy/nws.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

static void drop_oldest(struct nws *nws)
{
	struct nws_change *change = &nws->ring[nws->oldest];

	nws->dropped_to = change->revision;
	nws->bytes_held -= change->key.len + change->value.len;
	free(change->bytes);
	change->bytes = NULL;
	nws->oldest = (nws->oldest + 1) % NWS_CHANGES;
	nws->count--;
}

void nws_reset(struct nws *nws, uint64_t revision)
{
	while (nws->count)
		drop_oldest(nws);
	nws->dropped_to = revision;
	nws->revision = revision;
}

int nws_add(struct nws *nws, const struct nws_change *change)
{
	const size_t size = change->key.len + change->value.len;
	struct nws_change *slot;
	char *bytes = malloc(size + 1);

	if (!bytes) {
		/* A log with a gap can't be served: drops all before it. */
		nws_reset(nws, change->revision);
		return PST_ERR_NOMEM;
	}
	while (nws->count && (nws->count == NWS_CHANGES ||
			      nws->bytes_held + size > NWS_BYTES))
		drop_oldest(nws);
	memcpy(bytes, change->key.ptr, change->key.len);
	if (change->value.len)
		memcpy(bytes + change->key.len, change->value.ptr,
		       change->value.len);
	slot = &nws->ring[(nws->oldest + nws->count) % NWS_CHANGES];
	*slot = *change;
	slot->bytes = bytes;
	slot->key.ptr = bytes;
	slot->value.ptr = bytes + change->key.len;
	nws->count++;
	nws->bytes_held += size;
	nws_advance(nws, change->revision);
	return 0;
}

void nws_advance(struct nws *nws, uint64_t revision)
{
	if (revision > nws->revision)
		nws->revision = revision;
}

int nws_since(const struct nws *nws, uint64_t after,
	      void (*fn)(void *ctx, const struct nws_change *change), void *ctx)
{
	int count = 0;

	if (after < nws->dropped_to)
		return PST_ERR_STALE;
	for (size_t i = 0; i < nws->count; i++) {
		const struct nws_change *change =
			&nws->ring[(nws->oldest + i) % NWS_CHANGES];

		if (change->revision <= after)
			continue;
		fn(ctx, change);
		count++;
	}
	return count;
}
