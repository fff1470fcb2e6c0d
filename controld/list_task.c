#include "controld/list_task.h"

#include <stdlib.h>

#include "agent/task.h"
#include "agent/vmreader.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "list"

/* Time between two checks for pauses, freshness and absent VMs. */
#define TICK_INTERVAL CLK_MS(100)

struct list_task {
	const struct settings *set;
	struct node *node;
	struct vmreader *vmreader;
	struct task reader;
	struct task ticker;
	uint32_t failures;
};

static apr_interval_time_t run_reader(void *ctx)
{
	struct list_task *task = ctx;
	const apr_interval_time_t interval =
		CLK_MS(task->set->platform.list_interval_ms);
	struct vmlist *list = NULL;
	long status;
	int err;

	if (!node_reads_platform(task->node))
		return interval;
	err = vmreader_fetch(task->vmreader, &list, &status);
	if (err) {
		if (!task->failures)
			evt_log(LIST_LOST, "err=%s status=%ld", err_name(err),
				status);
		return task_backoff(interval, task->failures++,
				    CLK_MS(task->set->table.backoff_max_ms));
	}
	if (task->failures)
		evt_log(LIST_BACK, "revision=%llu",
			(unsigned long long)list->revision);
	task->failures = 0;
	node_offer_list(task->node, list);
	return interval;
}

static apr_interval_time_t run_ticker(void *ctx)
{
	struct list_task *task = ctx;

	node_tick(task->node);
	return TICK_INTERVAL;
}

int list_task_start(struct list_task **out, const struct settings *set,
		    struct node *node)
{
	struct list_task *task = calloc(1, sizeof(*task));
	int err;

	if (!task)
		return PST_ERR_NOMEM;
	task->set = set;
	task->node = node;
	err = vmreader_create(&task->vmreader, set);
	if (!err)
		err = task_start(&task->ticker, run_ticker, task);
	if (!err)
		err = task_start(&task->reader, run_reader, task);
	if (err)
		list_task_stop(task);
	else
		*out = task;
	return err;
}

void list_task_stop(struct list_task *task)
{
	if (!task)
		return;
	task_stop(&task->reader);
	task_stop(&task->ticker);
	vmreader_destroy(task->vmreader);
	free(task);
}
