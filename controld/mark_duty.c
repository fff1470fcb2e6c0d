#include "controld/mark_duty.h"

#include <stdlib.h>

#include "agent/duty.h"
#include "common/err.h"
#include "controld/xchg.h"
#include "policy/relay.h"

/* Longest wait for a change before the stop flag is checked. */
#define CHANGE_WAIT CLK_MS(200)

/* Wait after a failed allocation. */
#define RETRY_WAIT CLK_MS(100)

/* Most receivers of one mark. */
#define RECEIVERS_MAX \
	(RELAY_PER_DOMAIN + RELAY_DOMAIN_CHILDREN_MAX + RELAY_CHILDREN_MAX)

struct mark_duty {
	const struct settings *set;
	struct node *node;
	struct duty duty;
	struct xchg *xchg;
	/* Version up to which marks were forwarded. */
	uint64_t forwarded_version;
};

static size_t pick_receivers(const struct mark_duty *duty,
			     const struct vmlist *members,
			     const struct mbr_mark *mark,
			     const struct vm *out[RECEIVERS_MAX])
{
	const struct str domain = duty->set->vm.failure_domain;
	const struct str id = duty->set->vm.id;
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

static void forward_mark(struct mark_duty *duty, const struct vmlist *members,
			 const struct mbr_mark *mark)
{
	const struct vm *to[RECEIVERS_MAX];
	const size_t count = pick_receivers(duty, members, mark, to);
	table_mark wire = {
		.vm = (char *)mark->id.ptr,
		.count = mark->process_number,
		.client = mark->client,
		.leaving = mark->leaving,
	};
	table_marks marks = {
		.from = (char *)duty->set->vm.id.ptr,
		.marks = {.marks_len = 1, .marks_val = &wire},
	};

	for (size_t i = 0; i < count; i++) {
		if (!str_eq(strbuf_str(&to[i]->id), duty->set->vm.id))
			xchg_marks(duty->xchg, to[i], &marks);
	}
}

static apr_interval_time_t run(void *ctx)
{
	struct mark_duty *duty = ctx;
	struct mbr_mark *marks = NULL;
	struct vmlist *members;
	size_t count;

	if (node_wait_marks(duty->node, &duty->forwarded_version, CHANGE_WAIT,
			    &marks, &count))
		return RETRY_WAIT;
	members = node_members(duty->node);
	for (size_t i = 0; members && i < count; i++)
		forward_mark(duty, members, &marks[i]);
	vmlist_put(members);
	free(marks);
	return 0;
}

int mark_duty_start(struct mark_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct mark_duty *duty = calloc(1, sizeof(*duty));
	int err;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->set = set;
	duty->node = node;
	err = xchg_create(&duty->xchg, set, clk, node);
	if (!err)
		err = duty_start(&duty->duty, run, duty);
	if (err)
		mark_duty_stop(duty);
	else
		*out = duty;
	return err;
}

void mark_duty_stop(struct mark_duty *duty)
{
	if (!duty)
		return;
	duty_stop(&duty->duty);
	xchg_destroy(duty->xchg);
	free(duty);
}
