#include "policy/tkt_home.h"

static void drop_first(struct tkt_home *home)
{
	for (size_t i = 1; i < home->block_count; i++)
		home->blocks[i - 1] = home->blocks[i];
	home->block_count--;
}

static bool is_spent(const struct tkt_block *block, apr_time_t now)
{
	return block->next == block->count || now >= block->issue_until;
}

/*
 * Drops blocks that are used up or too old. A block that was used up doubles
 * the size of the next request, one that became too old halves it.
 */
static void drop_spent(struct tkt_home *home, apr_time_t now)
{
	while (home->block_count && is_spent(&home->blocks[0], now)) {
		const bool used_up =
			home->blocks[0].next == home->blocks[0].count;

		if (used_up && home->request_count * 2 <= home->max_count)
			home->request_count *= 2;
		if (!used_up && home->request_count / 2 >= home->min_count)
			home->request_count /= 2;
		drop_first(home);
	}
}

void tkt_home_init(struct tkt_home *home, uint64_t vm, uint64_t incarnation,
		   uint32_t min_count, uint32_t max_count)
{
	*home = (struct tkt_home){
		.vm = vm,
		.incarnation = incarnation,
		.min_count = min_count,
		.max_count = max_count,
		.request_count = min_count,
	};
}

bool tkt_home_issue(struct tkt_home *home, apr_time_t now, struct tkt_id *out)
{
	struct tkt_block *block = &home->blocks[0];

	drop_spent(home, now);
	if (!home->block_count || home->draining)
		return false;
	*out = (struct tkt_id){
		.home = home->vm,
		.home_incarnation = home->incarnation,
		.witness = block->witness,
		.witness_incarnation = block->witness_incarnation,
		.block = block->number,
		.index = block->next++,
	};
	return true;
}

uint32_t tkt_home_tickets_needed(struct tkt_home *home, apr_time_t now)
{
	const struct tkt_block *block = &home->blocks[0];

	drop_spent(home, now);
	if (home->request_pending || home->draining)
		return 0;
	if (home->block_count == TKT_HOME_BLOCKS)
		return 0;
	if (home->block_count && block->next < block->count / 2)
		return 0;
	home->request_pending = true;
	return home->request_count;
}

void tkt_home_block_opened(struct tkt_home *home, const struct tkt_block *block,
			   apr_time_t asked_at, apr_interval_time_t ttl)
{
	home->request_pending = false;
	if (home->draining || home->block_count == TKT_HOME_BLOCKS)
		return;
	home->blocks[home->block_count] = *block;
	home->blocks[home->block_count].next = 0;
	home->blocks[home->block_count].issue_until = asked_at + ttl / 2;
	home->block_count++;
}

void tkt_home_open_failed(struct tkt_home *home)
{
	home->request_pending = false;
}

size_t tkt_home_release_blocks(struct tkt_home *home, uint64_t witness,
			       struct tkt_block *out)
{
	size_t kept = 0;
	size_t left = 0;

	for (size_t i = 0; i < home->block_count; i++) {
		const struct tkt_block block = home->blocks[i];

		if (!witness || block.witness == witness)
			out[left++] = block;
		else
			home->blocks[kept++] = block;
	}
	home->block_count = kept;
	return left;
}

void tkt_home_drain(struct tkt_home *home)
{
	home->draining = true;
}
