#include "policy/memquota.h"

void memquota_set(struct memquota *quota, struct memquota_item *item,
		  size_t bytes, bool sized)
{
	quota->used += bytes - item->bytes;
	if (!item->sized)
		quota->unsized -= item->bytes;
	if (!sized)
		quota->unsized += bytes;
	*item = (struct memquota_item){.bytes = bytes, .sized = sized};
}

bool memquota_is_exceeded(const struct memquota *quota)
{
	return quota->used > quota->limit;
}

bool memquota_evicts(const struct memquota *quota,
		     const struct memquota_item *item,
		     const struct memquota_item *other)
{
	const bool unsized_first = quota->unsized >= quota->used / 2;

	if (!other)
		return true;
	if (unsized_first && item->sized != other->sized)
		return !item->sized;
	return item->bytes > other->bytes;
}
