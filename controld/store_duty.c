#include "controld/store_duty.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "agent/stc.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/drains.h"
#include "agent/duty.h"
#include "policy/head.h"

#define LOG_MODULE "store"

/* Wait after a watch that reported a change which is still unread. */
#define WATCH_PAUSE CLK_MS(20)

struct store_duty {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct duty reader;
	struct duty watcher;
	struct stc *read_stc;
	struct stc *watch_stc;
	uint32_t read_failures;
	uint32_t watch_failures;
	/* Store's revision up to which the table is known to be read. */
	atomic_uint_fast64_t seen;
	/* A watch reported a change that is not read yet. */
	atomic_bool changed;
	/* Revision of the head when it was last read. */
	uint64_t last_head;
	/* Older revision that the store offered last, or 0. */
	uint64_t older;
	/* Changes that the watch has reported. */
	atomic_uint reports;
	/* A read found a change before the watch; reports at that time. */
	bool suspected;
	unsigned reports_then;
};

static int keep_list(struct store_duty *duty, const struct stc_list *list,
		     uint64_t *newest)
{
	struct tbl_part *parts = calloc(list->count + 1, sizeof(*parts));
	int err;

	if (!parts)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < list->count; i++) {
		parts[i] = (struct tbl_part){
			.key = list->items[i].key,
			.mod_revision = list->items[i].mod_revision,
			.value = list->items[i].value,
		};
		if (parts[i].mod_revision > *newest)
			*newest = parts[i].mod_revision;
	}
	err = node_keep(duty->node, parts, list->count);
	free(parts);
	return err;
}

static int read_prefix(struct store_duty *duty, struct str prefix,
		       uint64_t *newest, uint64_t *at)
{
	struct stc_list list;
	int err = stc_read(duty->read_stc, prefix, &list);

	if (err)
		return err;
	err = keep_list(duty, &list, newest);
	*at = list.revision;
	stc_list_free(&list);
	return err;
}

/*
 * Reads everything. The marks are read after the table, so a mark may be
 * newer than a change of the table that was missed; what was newest in the
 * table's read is what may be claimed, unless nothing came in between.
 */
static int read_all(struct store_duty *duty, uint64_t *newest)
{
	uint64_t marks = 0;
	uint64_t marks_at;
	uint64_t table_at;
	int err = read_prefix(duty, STR_LIT(TBL_PREFIX), newest, &table_at);

	if (!err)
		err = read_prefix(duty, STR_LIT(DRAINS_PREFIX), &marks,
				  &marks_at);
	if (err)
		return err;
	if (marks > *newest && marks <= table_at)
		*newest = marks;
	return 0;
}

static int read_keys(struct store_duty *duty, char **keys, size_t count)
{
	uint64_t ignored = 0;
	int err = 0;

	for (size_t i = 0; !err && i < count; i++) {
		struct stc_list list;

		err = stc_read_key(duty->read_stc, str_from_c(keys[i]), &list);
		if (err)
			break;
		err = keep_list(duty, &list, &ignored);
		stc_list_free(&list);
	}
	return err;
}

/* Reads what the head says has changed; all, when it cannot say. */
static int read_changes(struct store_duty *duty, const struct stc_item *head,
			uint64_t *newest)
{
	const uint64_t held = node_revision(duty->node);
	char **keys = NULL;
	size_t count = 0;
	int err = PST_ERR_NOTFOUND;

	if (held)
		err = head_keys(head->value, held, &keys, &count);
	if (err)
		return read_all(duty, newest);
	err = read_keys(duty, keys, count);
	head_keys_free(keys, count);
	*newest = head->mod_revision;
	return err;
}

/* A change without a new head was written past pstctl: reads all. */
static int read_newer(struct store_duty *duty, const struct stc_list *head,
		      bool changed, uint64_t *newest)
{
	const struct stc_item *item = head->count ? &head->items[0] : NULL;

	if (!item || (changed && item->mod_revision == duty->last_head))
		return read_all(duty, newest);
	*newest = item->mod_revision;
	if (*newest <= node_revision(duty->node))
		return 0;
	return read_changes(duty, item, newest);
}

/*
 * A watch that has not reported by the next read what this read has found is
 * taken for silent and opened anew.
 */
static void judge_watch(struct store_duty *duty, uint64_t head, bool reported)
{
	const unsigned reports = duty->reports;

	if (duty->suspected && reports == duty->reports_then) {
		evt_log(WATCH_SILENT, "head=%llu", (unsigned long long)head);
		stc_interrupt(duty->watch_stc);
	}
	duty->suspected = duty->last_head && head != duty->last_head &&
			  !reported && node_is_relay(duty->node);
	duty->reports_then = reports;
}

static int read_table(struct store_duty *duty)
{
	const apr_time_t asked_at = clk_now(duty->clk);
	const uint64_t held = node_revision(duty->node);
	const bool changed = duty->changed;
	uint64_t newest = 0;
	struct stc_list head;
	int err = stc_read_key(duty->read_stc, STR_LIT(HEAD_KEY), &head);

	if (err)
		return err;
	err = read_newer(duty, &head, changed, &newest);
	if (!err && newest > node_revision(duty->node))
		err = node_apply(duty->node, newest, "store");
	if (!err && newest < held && newest != duty->older)
		evt_log(TABLE_OLDER, "held=%llu offered=%llu source=store",
			(unsigned long long)held, (unsigned long long)newest);
	duty->older = newest < held ? newest : 0;
	if (!err || err == PST_ERR_INVALID) {
		node_confirm(duty->node, newest, asked_at, NODE_SOURCE_STORE);
		duty->seen = head.revision;
		judge_watch(duty, head.count ? head.items[0].mod_revision : 0,
			    changed);
		duty->last_head = head.count ? head.items[0].mod_revision : 0;
		if (changed)
			duty->changed = false;
		err = 0;
	}
	stc_list_free(&head);
	return err;
}

static apr_interval_time_t run_reader(void *ctx)
{
	struct store_duty *duty = ctx;
	const apr_interval_time_t interval =
		CLK_MS(duty->set->table.head_interval_ms);
	int err;

	if (!node_reads_platform(duty->node)) {
		duty->read_failures = 0;
		return interval;
	}
	err = read_table(duty);
	node_set_store(duty->node, !err);
	if (!err) {
		duty->read_failures = 0;
		return interval;
	}
	return duty_backoff(interval, duty->read_failures++,
			    CLK_MS(duty->set->table.backoff_max_ms));
}

static apr_interval_time_t run_watcher(void *ctx)
{
	struct store_duty *duty = ctx;
	const uint64_t seen = duty->seen;
	int err;

	if (!seen || !node_is_relay(duty->node))
		return CLK_MS(duty->set->table.head_interval_ms);
	if (duty->changed)
		return WATCH_PAUSE;
	err = stc_watch(duty->watch_stc, STR_LIT(TBL_PREFIX), seen,
			CLK_MS(duty->set->table.watch_ms));
	if (!err) {
		duty->watch_failures = 0;
		duty->reports++;
		duty->changed = true;
		duty_poke(&duty->reader);
		return WATCH_PAUSE;
	}
	if (err == PST_ERR_TIMEOUT) {
		duty->watch_failures = 0;
		return 0;
	}
	return duty_backoff(CLK_MS(duty->set->table.head_interval_ms),
			    duty->watch_failures++,
			    CLK_MS(duty->set->table.backoff_max_ms));
}

int store_duty_start(struct store_duty **out, const struct settings *set,
		     const struct clk *clk, struct node *node)
{
	struct store_duty *duty = calloc(1, sizeof(*duty));
	int err;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->set = set;
	duty->clk = clk;
	duty->node = node;
	err = stc_create(&duty->read_stc, set, clk);
	if (!err)
		err = stc_create(&duty->watch_stc, set, clk);
	if (!err)
		err = duty_start(&duty->reader, run_reader, duty);
	if (!err)
		err = duty_start(&duty->watcher, run_watcher, duty);
	if (err)
		store_duty_stop(duty);
	else
		*out = duty;
	return err;
}

void store_duty_stop(struct store_duty *duty)
{
	if (!duty)
		return;
	if (duty->watch_stc)
		stc_cancel(duty->watch_stc);
	duty_stop(&duty->watcher);
	duty_stop(&duty->reader);
	stc_destroy(duty->watch_stc);
	stc_destroy(duty->read_stc);
	free(duty);
}
