/* Marks of leaving VMs, in a node's state and in messages. */
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "controld/node_state.h"

#define LOG_MODULE "node"

/* Heartbeat time-outs for which an obsolete mark is kept. */
#define MARK_KEEP_TIMEOUTS 4

static void log_mark(struct str id, bool leaving, const char *source)
{
	evt_log(VM_MARK, "vm=%.*s leaving=%d source=%s", STR_ARG(id), leaving,
		source);
}

static bool listed(const struct node *node, struct str id)
{
	const struct vmlist *list = vmhist_list(node->listed);

	return list && vmlist_find(list, id);
}

static bool merge_mark(struct node *node, const table_mark *from)
{
	struct mbr_mark mark = {
		.process_number = from->count,
		.client = from->client,
		.leaving = from->leaving,
	};

	if (strbuf_set(&mark.id, str_from_c(from->vm)) ||
	    !listed(node, strbuf_str(&mark.id)) ||
	    !liveness_marks_merge(&node->marks, &mark, clk_now(node->clk)))
		return false;
	log_mark(strbuf_str(&mark.id), mark.leaving, "peer");
	return true;
}

void node_note_process_locked(struct node *node, const table_ask *ask)
{
	const struct str id = str_from_c(ask->from);
	const bool leaving = ask->serves == TABLE_SERVES_LEAVING;

	if (ask->serves == TABLE_SERVES_NOTHING || !ask->client ||
	    !liveness_marks_note(&node->marks, id, ask->client, leaving,
				 clk_now(node->clk)))
		return;
	log_mark(id, leaving, "process");
	node_update_members_locked(node);
	pthread_cond_broadcast(&node->newer);
}

int node_copy_marks_locked(const struct node *node, uint64_t after,
			   table_mark **out, u_int *count)
{
	table_mark *copy = calloc(node->marks.count + 1, sizeof(*copy));

	*out = copy;
	*count = 0;
	for (size_t i = 0; copy && i < node->marks.count; i++) {
		const struct mbr_mark *mark = &node->marks.marks[i];
		table_mark *to = &copy[*count];

		if (mark->version <= after)
			continue;
		to->vm = strdup(mark->id.ptr);
		if (!to->vm)
			return PST_ERR_NOMEM;
		to->count = mark->process_number;
		to->client = mark->client;
		to->leaving = mark->leaving;
		(*count)++;
	}
	return copy ? 0 : PST_ERR_NOMEM;
}

void node_expire_marks_locked(struct node *node)
{
	const apr_interval_time_t keep =
		MARK_KEEP_TIMEOUTS *
		CLK_MS(node->set->table.heartbeat_timeout_ms);
	const struct vmlist *list = vmhist_list(node->listed);

	if (list)
		liveness_marks_expire(&node->marks, list, keep,
				      clk_now(node->clk));
}

void node_apply_marks_locked(const struct node *node, struct vmlist *members)
{
	for (size_t i = 0; i < members->count; i++) {
		struct vm *vm = &members->vms[i];

		vm->stopping = vm->kind == VM_ENTRY &&
			       liveness_marks_leaving(&node->marks,
						      strbuf_str(&vm->id));
	}
}

void node_merge_marks(struct node *node, const table_mark *marks, u_int count)
{
	bool changed = false;

	pthread_mutex_lock(&node->lock);
	for (u_int i = 0; i < count; i++)
		changed |= merge_mark(node, &marks[i]);
	if (changed) {
		node_update_members_locked(node);
		pthread_cond_broadcast(&node->newer);
	}
	pthread_mutex_unlock(&node->lock);
}

static int copy_changed_marks(const struct node *node, uint64_t after,
			      struct mbr_mark **out, size_t *count)
{
	*out = calloc(node->marks.count + 1, sizeof(**out));
	*count = 0;
	for (size_t i = 0; *out && i < node->marks.count; i++) {
		if (node->marks.marks[i].version > after)
			(*out)[(*count)++] = node->marks.marks[i];
	}
	return *out ? 0 : PST_ERR_NOMEM;
}

int node_wait_marks(struct node *node, uint64_t *version,
		    apr_interval_time_t timeout, struct mbr_mark **out,
		    size_t *count)
{
	int err;

	pthread_mutex_lock(&node->lock);
	if (node->marks.version <= *version)
		node_wait_locked(node, timeout);
	err = copy_changed_marks(node, *version, out, count);
	if (!err)
		*version = node->marks.version;
	pthread_mutex_unlock(&node->lock);
	return err;
}
