#include "controld/store_task.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "agent/kvclient.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/drains.h"
#include "agent/task.h"
#include "policy/head.h"

#define LOG_MODULE "store"

/* Wait while a change that the watch has reported is still to be read. */
#define WATCH_PAUSE CLK_MS(20)

struct store_task {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct task reader;
	struct task watcher;
	struct kvclient *read_stc;
	struct kvclient *watch_stc;
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

static int add_parts(struct store_task *task, const struct kvclient_list *list,
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
	err = node_add_parts(task->node, parts, list->count);
	free(parts);
	return err;
}

static int read_prefix(struct store_task *task, struct str prefix,
		       uint64_t *newest, uint64_t *at)
{
	struct kvclient_list list;
	int err = kvclient_read(task->read_stc, prefix, &list);

	if (err)
		return err;
	err = add_parts(task, &list, newest);
	*at = list.revision;
	kvclient_list_free(&list);
	return err;
}

/*
 * Reads the table and the drain marks. Marks are read after the table, so a
 * mark may be newer than a change of the table that was missed. *newest is
 * therefore the newest revision in the table, and that of a newer mark only if
 * the store held it when the table was read.
 */
static int read_all(struct store_task *task, uint64_t *newest)
{
	uint64_t marks = 0;
	uint64_t marks_at;
	uint64_t table_at;
	int err = read_prefix(task, STR_LIT(TBL_PREFIX), newest, &table_at);

	if (!err)
		err = read_prefix(task, STR_LIT(DRAINS_PREFIX), &marks,
				  &marks_at);
	if (err)
		return err;
	if (marks > *newest && marks <= table_at)
		*newest = marks;
	return 0;
}

static int read_keys(struct store_task *task, char **keys, size_t count)
{
	uint64_t ignored = 0;
	int err = 0;

	for (size_t i = 0; !err && i < count; i++) {
		struct kvclient_list list;

		err = kvclient_read_key(task->read_stc, str_from_c(keys[i]),
					&list);
		if (err)
			break;
		err = add_parts(task, &list, &ignored);
		kvclient_list_free(&list);
	}
	return err;
}

/*
 * Reads the keys that the head lists as changed after the held revision, or all
 * if its list does not reach back that far.
 */
static int read_changes(struct store_task *task,
			const struct kvclient_item *head, uint64_t *newest)
{
	const uint64_t held = node_revision(task->node);
	char **keys = NULL;
	size_t count = 0;
	int err = PST_ERR_NOTFOUND;

	if (held)
		err = head_keys(head->value, held, &keys, &count);
	if (err)
		return read_all(task, newest);
	err = read_keys(task, keys, count);
	head_keys_free(keys, count);
	*newest = head->mod_revision;
	return err;
}

/* Reads all if a change came without a new head: pstctl did not write it. */
static int read_newer(struct store_task *task, const struct kvclient_list *head,
		      bool change_pending, uint64_t *newest)
{
	const struct kvclient_item *item = head->count ? &head->items[0] : NULL;

	if (!item ||
	    (change_pending && item->mod_revision == task->last_head_revision))
		return read_all(task, newest);
	*newest = item->mod_revision;
	if (*newest <= node_revision(task->node))
		return 0;
	return read_changes(task, item, newest);
}

/*
 * Reopens the watch if it is silent: a read has found a change, and the watch
 * has not reported it by the next read.
 */
static void check_watch(struct store_task *task, uint64_t head, bool reported)
{
	const unsigned watch_reports = task->watch_reports;

	if (task->watch_suspected &&
	    watch_reports == task->watch_reports_before) {
		evt_log(WATCH_SILENT, "head=%llu", (unsigned long long)head);
		kvclient_interrupt(task->watch_stc);
	}
	task->watch_suspected = task->last_head_revision &&
				head != task->last_head_revision && !reported &&
				node_is_relay(task->node);
	task->watch_reports_before = watch_reports;
}

static int read_table(struct store_task *task)
{
	const apr_time_t asked_at = clk_now(task->clk);
	const uint64_t held = node_revision(task->node);
	const bool change_pending = task->change_pending;
	uint64_t newest = 0;
	struct kvclient_list head;
	int err = kvclient_read_key(task->read_stc, STR_LIT(HEAD_KEY), &head);

	if (err)
		return err;
	err = read_newer(task, &head, change_pending, &newest);
	if (!err && newest > node_revision(task->node))
		err = node_apply_parts(task->node, newest, "store");
	if (!err && newest < held && newest != task->last_older)
		evt_log(TABLE_OLDER, "held=%llu offered=%llu source=store",
			(unsigned long long)held, (unsigned long long)newest);
	task->last_older = newest < held ? newest : 0;
	if (!err || err == PST_ERR_INVALID) {
		node_confirm(task->node, newest, asked_at, NODE_SOURCE_STORE);
		task->seen_revision = head.revision;
		check_watch(task, head.count ? head.items[0].mod_revision : 0,
			    change_pending);
		task->last_head_revision =
			head.count ? head.items[0].mod_revision : 0;
		if (change_pending)
			task->change_pending = false;
		err = 0;
	}
	kvclient_list_free(&head);
	return err;
}

static apr_interval_time_t run_reader(void *ctx)
{
	struct store_task *task = ctx;
	const apr_interval_time_t interval =
		CLK_MS(task->set->table.head_interval_ms);
	int err;

	if (!node_reads_platform(task->node)) {
		task->read_failures = 0;
		return interval;
	}
	err = read_table(task);
	node_set_store(task->node, !err);
	if (!err) {
		task->read_failures = 0;
		return interval;
	}
	return task_backoff(interval, task->read_failures++,
			    CLK_MS(task->set->table.backoff_max_ms));
}

static apr_interval_time_t run_watcher(void *ctx)
{
	struct store_task *task = ctx;
	const uint64_t seen_revision = task->seen_revision;
	int err;

	if (!seen_revision || !node_is_relay(task->node))
		return CLK_MS(task->set->table.head_interval_ms);
	if (task->change_pending)
		return WATCH_PAUSE;
	err = kvclient_watch(task->watch_stc, STR_LIT(TBL_PREFIX),
			     seen_revision, CLK_MS(task->set->table.watch_ms));
	if (!err) {
		task->watch_failures = 0;
		task->watch_reports++;
		task->change_pending = true;
		task_wake(&task->reader);
		return WATCH_PAUSE;
	}
	if (err == PST_ERR_TIMEOUT) {
		task->watch_failures = 0;
		return 0;
	}
	return task_backoff(CLK_MS(task->set->table.head_interval_ms),
			    task->watch_failures++,
			    CLK_MS(task->set->table.backoff_max_ms));
}

int store_task_start(struct store_task **out, const struct settings *set,
		     const struct clk *clk, struct node *node)
{
	struct store_task *task = calloc(1, sizeof(*task));
	int err;

	if (!task)
		return PST_ERR_NOMEM;
	task->set = set;
	task->clk = clk;
	task->node = node;
	err = kvclient_create(&task->read_stc, set, clk);
	if (!err)
		err = kvclient_create(&task->watch_stc, set, clk);
	if (!err)
		err = task_start(&task->reader, run_reader, task);
	if (!err)
		err = task_start(&task->watcher, run_watcher, task);
	if (err)
		store_task_stop(task);
	else
		*out = task;
	return err;
}

void store_task_stop(struct store_task *task)
{
	if (!task)
		return;
	if (task->watch_stc)
		kvclient_cancel(task->watch_stc);
	task_stop(&task->watcher);
	task_stop(&task->reader);
	kvclient_destroy(task->watch_stc);
	kvclient_destroy(task->read_stc);
	free(task);
}
