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

/* Wait while a change that the watch has reported is still to be read. */
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
	/* Store revision up to which the table has been read. */
	atomic_uint_fast64_t seen_revision;
	/* The watch has reported a change that is still to be read. */
	atomic_bool change_pending;
	/* Revision of the head at the last read. */
	uint64_t last_head_revision;
	/* Revision older than the held one that the last read gave, or 0. */
	uint64_t last_older;
	/* Count of changes that the watch has reported. */
	atomic_uint watch_reports;
	/* A read has found a change that the watch had not reported. */
	bool watch_suspected;
	/* watch_reports at the last read. */
	unsigned watch_reports_before;
};

static int add_parts(struct store_duty *duty, const struct stc_list *list,
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
	err = node_add_parts(duty->node, parts, list->count);
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
	err = add_parts(duty, &list, newest);
	*at = list.revision;
	stc_list_free(&list);
	return err;
}

/*
 * Reads the table and the drain marks. Marks are read after the table, so a
 * mark may be newer than a change of the table that was missed. *newest is
 * therefore the newest revision in the table, and that of a newer mark only if
 * the store held it when the table was read.
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
		err = add_parts(duty, &list, &ignored);
		stc_list_free(&list);
	}
	return err;
}

/*
 * Reads the keys that the head lists as changed after the held revision, or all
 * if its list does not reach back that far.
 */
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

/* Reads all if a change came without a new head: pstctl did not write it. */
static int read_newer(struct store_duty *duty, const struct stc_list *head,
		      bool change_pending, uint64_t *newest)
{
	const struct stc_item *item = head->count ? &head->items[0] : NULL;

	if (!item ||
	    (change_pending && item->mod_revision == duty->last_head_revision))
		return read_all(duty, newest);
	*newest = item->mod_revision;
	if (*newest <= node_revision(duty->node))
		return 0;
	return read_changes(duty, item, newest);
}

/*
 * Reopens the watch if it is silent: a read has found a change, and the watch
 * has not reported it by the next read.
 */
static void check_watch(struct store_duty *duty, uint64_t head, bool reported)
{
	const unsigned watch_reports = duty->watch_reports;

	if (duty->watch_suspected &&
	    watch_reports == duty->watch_reports_before) {
		evt_log(WATCH_SILENT, "head=%llu", (unsigned long long)head);
		stc_interrupt(duty->watch_stc);
	}
	duty->watch_suspected = duty->last_head_revision &&
				head != duty->last_head_revision && !reported &&
				node_is_relay(duty->node);
	duty->watch_reports_before = watch_reports;
}

static int read_table(struct store_duty *duty)
{
	const apr_time_t asked_at = clk_now(duty->clk);
	const uint64_t held = node_revision(duty->node);
	const bool change_pending = duty->change_pending;
	uint64_t newest = 0;
	struct stc_list head;
	int err = stc_read_key(duty->read_stc, STR_LIT(HEAD_KEY), &head);

	if (err)
		return err;
	err = read_newer(duty, &head, change_pending, &newest);
	if (!err && newest > node_revision(duty->node))
		err = node_apply_parts(duty->node, newest, "store");
	if (!err && newest < held && newest != duty->last_older)
		evt_log(TABLE_OLDER, "held=%llu offered=%llu source=store",
			(unsigned long long)held, (unsigned long long)newest);
	duty->last_older = newest < held ? newest : 0;
	if (!err || err == PST_ERR_INVALID) {
		node_confirm(duty->node, newest, asked_at, NODE_SOURCE_STORE);
		duty->seen_revision = head.revision;
		check_watch(duty, head.count ? head.items[0].mod_revision : 0,
			    change_pending);
		duty->last_head_revision =
			head.count ? head.items[0].mod_revision : 0;
		if (change_pending)
			duty->change_pending = false;
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
	const uint64_t seen_revision = duty->seen_revision;
	int err;

	if (!seen_revision || !node_is_relay(duty->node))
		return CLK_MS(duty->set->table.head_interval_ms);
	if (duty->change_pending)
		return WATCH_PAUSE;
	err = stc_watch(duty->watch_stc, STR_LIT(TBL_PREFIX), seen_revision,
			CLK_MS(duty->set->table.watch_ms));
	if (!err) {
		duty->watch_failures = 0;
		duty->watch_reports++;
		duty->change_pending = true;
		duty_wake(&duty->reader);
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
