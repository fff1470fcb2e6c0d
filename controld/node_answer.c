/* Messages made from a node's state, and reports merged into it. */
#include <stdlib.h>
#include <string.h>

#include "agent/tablemsg.h"
#include "common/err.h"
#include "controld/node_state.h"

/* Largest total of values in one page of an answer, in bytes. */
#define PAGE_BYTES ((size_t)1024 * 1024)

static int copy_parts(const struct node *node, uint64_t after, table_part **out,
		      u_int *out_count, bool *more)
{
	struct tbl_part *parts;
	size_t count;
	int err = partset_since(node->tblcache.partset, after, PAGE_BYTES,
				&parts, &count, more);

	if (err)
		return err;
	*out = tablemsg_parts_encode(parts, count);
	*out_count = *out ? (u_int)count : 0;
	partset_free(parts, count);
	return count && !*out ? PST_ERR_NOMEM : 0;
}

static int copy_delta(const struct node *node, uint64_t after,
		      table_delta **out)
{
	struct vmhist_delta delta;
	const int err = vmhist_since(node->listed, after, &delta);

	if (err)
		return err == PST_ERR_AGAIN ? 0 : err;
	*out = tablemsg_delta_encode(&delta);
	vmhist_delta_free(&delta);
	return *out ? 0 : PST_ERR_NOMEM;
}

static int status_locked(struct node *node, table_status *out)
{
	const apr_time_t now = clk_now(node->clk);
	const struct rev *rev = &node->tblcache.rev;

	out->vm = strdup(node->set->vm.id.ptr);
	out->incarnation = node->incarnation;
	out->revision = rev->revision;
	out->in_force = clients_lowest(&node->clients,
				       tblcache_in_force(&node->tblcache),
				       now - rev->freshness_timeout);
	out->confirmed_age_ms = tablemsg_age_ms(rev_confirmation_age(rev, now));
	out->voter = rev->voter;
	out->relay = node->relay;
	out->store_reachable = node->store_reachable;
	out->fresh = rev_is_fresh(rev, now, clk_now(node->tblcache.wall));
	return out->vm ? 0 : PST_ERR_NOMEM;
}

static int copy_report(const struct liveness_report *report, apr_time_t now,
		       table_absent *out)
{
	out->domain = strdup(report->domain.ptr);
	out->age_ms = tablemsg_age_ms(now - report->observed_at);
	out->vms.vms_val = calloc(report->count + 1, sizeof(pst_id));
	if (!out->domain || !out->vms.vms_val)
		return PST_ERR_NOMEM;
	out->vms.vms_len = (u_int)report->count;
	for (size_t i = 0; i < report->count; i++) {
		out->vms.vms_val[i] = strdup(report->absent[i].ptr);
		if (!out->vms.vms_val[i])
			return PST_ERR_NOMEM;
	}
	return 0;
}

static int copy_reports(const struct node *node, table_answer *out)
{
	const apr_time_t now = clk_now(node->clk);
	size_t count;
	const struct liveness_report *reports =
		liveness_reports(node->liveness, &count);
	size_t len = 0;
	int err = 0;

	out->absents.absents_val = calloc(count + 1, sizeof(table_absent));
	if (!out->absents.absents_val)
		return PST_ERR_NOMEM;
	for (size_t i = 0; !err && i < count; i++) {
		if (!liveness_report_is_relevant(node->liveness, &reports[i],
						 now))
			continue;
		err = copy_report(&reports[i], now,
				  &out->absents.absents_val[len]);
		len++;
	}
	out->absents.absents_len = (u_int)len;
	return err;
}

static int answer(struct node *node, const table_ask *ask, table_answer *out)
{
	bool more = false;
	int err = status_locked(node, &out->status);

	if (!err)
		err = copy_parts(node, ask->after, &out->parts.parts_val,
				 &out->parts.parts_len, &more);
	out->more = more;
	return err;
}

static bool view_known(const struct node *node, const table_ask *ask)
{
	return ask->list_incarnation == node->incarnation &&
	       ask->list_revision == node->members->revision;
}

static void merge_absent(struct node *node, const table_absent *report,
			 apr_time_t now)
{
	const u_int count = report->vms.vms_len;
	struct str *ids = calloc(count + 1, sizeof(*ids));

	for (u_int i = 0; ids && i < count; i++)
		ids[i] = str_from_c(report->vms.vms_val[i]);
	if (ids)
		liveness_merge(node->liveness, str_from_c(report->domain), ids,
			       count, now - CLK_MS(report->age_ms));
	free(ids);
}

int node_make_change(struct node *node, const struct node_held *after,
		     table_change *out)
{
	bool more = false;
	int err;

	memset(out, 0, sizeof(*out));
	out->from = strdup(node->set->vm.id.ptr);
	out->previous = after->table;
	pthread_mutex_lock(&node->lock);
	out->revision = node->tblcache.rev.revision;
	err = copy_parts(node, after->table, &out->parts.parts_val,
			 &out->parts.parts_len, &more);
	if (!err)
		err = copy_delta(node, after->list, &out->delta);
	pthread_mutex_unlock(&node->lock);
	if (!err && (more || !out->from))
		err = PST_ERR_FULL;
	return err;
}

int node_status(struct node *node, table_status *out)
{
	int err;

	pthread_mutex_lock(&node->lock);
	err = status_locked(node, out);
	pthread_mutex_unlock(&node->lock);
	return err;
}

int node_answer_sync(struct node *node, const table_ask *ask, table_answer *out)
{
	int err;

	pthread_mutex_lock(&node->lock);
	liveness_heard(node->liveness, str_from_c(ask->from),
		       clk_now(node->clk));
	rev_note_exists(&node->tblcache.rev, ask->held);
	err = answer(node, ask, out);
	if (!err)
		err = copy_delta(node, ask->list_revision, &out->delta);
	if (!err)
		err = copy_reports(node, out);
	if (!err)
		err = node_copy_marks_locked(node, 0, &out->marks.marks_val,
					     &out->marks.marks_len);
	pthread_mutex_unlock(&node->lock);
	return err;
}

int node_answer_view(struct node *node, const table_ask *ask, table_answer *out)
{
	int err;

	pthread_mutex_lock(&node->lock);
	if (ask->client)
		clients_note(&node->clients, ask->client, ask->held,
			     clk_now(node->clk));
	node_note_process_locked(node, ask);
	node_add_hints_locked(node, ask);
	err = answer(node, ask, out);
	out->list_incarnation = node->incarnation;
	if (!err && node->members && !view_known(node, ask)) {
		out->list = tablemsg_list_encode(node->members);
		err = out->list ? 0 : PST_ERR_NOMEM;
	}
	pthread_mutex_unlock(&node->lock);
	return err;
}

void node_merge_absents(struct node *node, const table_answer *answer)
{
	pthread_mutex_lock(&node->lock);
	for (u_int i = 0; i < answer->absents.absents_len; i++)
		merge_absent(node, &answer->absents.absents_val[i],
			     clk_now(node->clk));
	pthread_mutex_unlock(&node->lock);
}
