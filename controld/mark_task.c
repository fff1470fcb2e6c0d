#include "controld/mark_task.h"

#include <stdlib.h>

#include "agent/task.h"
#include "common/err.h"
#include "controld/peercall.h"
#include "policy/relay.h"

/* Longest wait for a change before the stop flag is checked. */
#define CHANGE_WAIT CLK_MS(200)

/* Wait after a failed allocation. */
#define RETRY_WAIT CLK_MS(100)

/* Most receivers of one mark. */
#define RECEIVERS_MAX \
	(RELAY_PER_DOMAIN + RELAY_DOMAIN_CHILDREN_MAX + RELAY_CHILDREN_MAX)

struct mark_task {
	const struct settings *set;
	struct node *node;
	struct task task;
	struct peercall *peercall;
	/* Version up to which marks were forwarded. */
	uint64_t forwarded_version;
};

static size_t pick_receivers(const struct mark_task *task,
			     const struct vmlist *members,
			     const struct mbr_mark *mark,
			     const struct vm *out[RECEIVERS_MAX])
{
	const struct str domain = task->set->vm.failure_domain;
	const struct str id = task->set->vm.id;
	const struct vm *vm = vmlist_find(members, strbuf_str(&mark->id));
	size_t count = relay_children(members, domain, id, out);

	if (!vm)
		return count;
	if (mark->made_here)
		count += relay_pick(members, strbuf_str(&vm->domain),
				    &out[count]);
	if (mark->made_here || relay_is(members, domain, id))
		count += relay_domain_children(members, strbuf_str(&vm->domain),
					       domain, &out[count]);
	return count;
}

static void forward_mark(struct mark_task *task, const struct vmlist *members,
			 const struct mbr_mark *mark)
{
	const struct vm *to[RECEIVERS_MAX];
	const size_t count = pick_receivers(task, members, mark, to);
	table_mark wire = {
		.vm = (char *)mark->id.ptr,
		.count = mark->process_number,
		.client = mark->client,
		.leaving = mark->leaving,
	};
	table_marks marks = {
		.from = (char *)task->set->vm.id.ptr,
		.marks = {.marks_len = 1, .marks_val = &wire},
	};

	for (size_t i = 0; i < count; i++) {
		if (!str_eq(strbuf_str(&to[i]->id), task->set->vm.id))
			peercall_marks(task->peercall, to[i], &marks);
	}
}

static apr_interval_time_t run(void *ctx)
{
	struct mark_task *task = ctx;
	struct mbr_mark *marks = NULL;
	struct vmlist *members;
	size_t count;

	if (node_wait_marks(task->node, &task->forwarded_version, CHANGE_WAIT,
			    &marks, &count))
		return RETRY_WAIT;
	members = node_members(task->node);
	for (size_t i = 0; members && i < count; i++)
		forward_mark(task, members, &marks[i]);
	vmlist_put(members);
	free(marks);
	return 0;
}

int mark_task_start(struct mark_task **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct mark_task *task = calloc(1, sizeof(*task));
	int err;

	if (!task)
		return PST_ERR_NOMEM;
	task->set = set;
	task->node = node;
	err = peercall_create(&task->peercall, set, clk, node);
	if (!err)
		err = task_start(&task->task, run, task);
	if (err)
		mark_task_stop(task);
	else
		*out = task;
	return err;
}

void mark_task_stop(struct mark_task *task)
{
	if (!task)
		return;
	task_stop(&task->task);
	peercall_destroy(task->peercall);
	free(task);
}
