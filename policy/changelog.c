#include "policy/changelog.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

static void drop_oldest(struct changelog *changelog)
{
	struct changelog_change *change = &changelog->ring[changelog->oldest];

	changelog->dropped_to = change->revision;
	changelog->bytes_held -= change->key.len + change->value.len;
	free(change->bytes);
	change->bytes = NULL;
	changelog->oldest = (changelog->oldest + 1) % CHANGELOG_CHANGES;
	changelog->count--;
}

void changelog_reset(struct changelog *changelog, uint64_t revision)
{
	while (changelog->count)
		drop_oldest(changelog);
	changelog->dropped_to = revision;
	changelog->revision = revision;
}

int changelog_add(struct changelog *changelog,
		  const struct changelog_change *change)
{
	const size_t size = change->key.len + change->value.len;
	struct changelog_change *slot;
	char *bytes = malloc(size + 1);

	if (!bytes) {
		/* A log with a gap can't be served: drops all before it. */
		changelog_reset(changelog, change->revision);
		return PST_ERR_NOMEM;
	}
	while (changelog->count &&
	       (changelog->count == CHANGELOG_CHANGES ||
		changelog->bytes_held + size > CHANGELOG_BYTES))
		drop_oldest(changelog);
	memcpy(bytes, change->key.ptr, change->key.len);
	if (change->value.len)
		memcpy(bytes + change->key.len, change->value.ptr,
		       change->value.len);
	slot = &changelog->ring[(changelog->oldest + changelog->count) %
				CHANGELOG_CHANGES];
	*slot = *change;
	slot->bytes = bytes;
	slot->key.ptr = bytes;
	slot->value.ptr = bytes + change->key.len;
	changelog->count++;
	changelog->bytes_held += size;
	changelog_advance(changelog, change->revision);
	return 0;
}

void changelog_advance(struct changelog *changelog, uint64_t revision)
{
	if (revision > changelog->revision)
		changelog->revision = revision;
}

int changelog_since(const struct changelog *changelog, uint64_t after,
		    void (*fn)(void *ctx,
			       const struct changelog_change *change),
		    void *ctx)
{
	int count = 0;

	if (after < changelog->dropped_to)
		return PST_ERR_STALE;
	for (size_t i = 0; i < changelog->count; i++) {
		const struct changelog_change *change =
			&changelog->ring[(changelog->oldest + i) %
					 CHANGELOG_CHANGES];

		if (change->revision <= after)
			continue;
		fn(ctx, change);
		count++;
	}
	return count;
}
