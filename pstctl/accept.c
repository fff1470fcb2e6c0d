#include "pstctl/accept.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/err.h"
#include "policy/rev.h"
#include "policy/tbl_manifest.h"
#include "pstctl/poll.h"

#define CHECK_INTERVAL CLK_MS(5)

/* Longest wait for acceptance, in freshness time-outs. */
#define MAX_WAIT_TIMEOUTS 2

struct domain_count {
	size_t vms;
	size_t holding;
};

/*
 * Counts, under the poll's lock, the VMs and failure domains that hold the
 * revision. The domains are those of the table, as in the votes of the VMs,
 * so that any two majorities have a domain in common.
 */
static bool count_holders(struct poll *poll, const struct tbl_manifest *frame,
			  struct rev_holders *holders)
{
	struct domain_count *domains =
		calloc(frame->domain_count, sizeof(*domains));

	if (!domains)
		return false;
	*holders = (struct rev_holders){
		.vms = poll->count,
		.domains = frame->domain_count,
	};
	pthread_mutex_lock(&poll->lock);
	for (size_t i = 0; i < poll->count; i++) {
		const struct poll_vm *vm = &poll->vms[i];
		const int d =
			tbl_manifest_domain(frame, strbuf_str(&vm->vm->domain));

		holders->vms_holding += vm->held_at != 0;
		if (d < 0)
			continue;
		domains[d].vms++;
		domains[d].holding += vm->held_at != 0;
	}
	pthread_mutex_unlock(&poll->lock);
	for (size_t d = 0; d < frame->domain_count; d++)
		holders->domains_whole +=
			domains[d].vms && domains[d].vms == domains[d].holding;
	free(domains);
	return true;
}

static int read_frame(struct cmd *cmd, struct tbl_manifest **out)
{
	struct tbl_problem problem;
	struct kvclient_list list;
	int err = kvclient_read_key(cmd->kvclient, STR_LIT(TBL_KEY_MANIFEST),
				    &list);

	if (err)
		return err;
	err = list.count
		      ? tbl_manifest_parse(out, list.items[0].value, &problem)
		      : PST_ERR_NOTFOUND;
	kvclient_list_free(&list);
	return err;
}

static void list_unconfirmed(const struct poll *poll, char *out, size_t size)
{
	size_t used = 0;

	out[0] = '\0';
	for (size_t i = 0; i < poll->count && used < size; i++) {
		if (poll->vms[i].held_at)
			continue;
		used += (size_t)snprintf(out + used, size - used, "%s%s",
					 used ? "," : "",
					 poll->vms[i].vm->id.ptr);
	}
}

static void fill_result(const struct poll *poll,
			const struct rev_holders *holders, apr_time_t began,
			struct accept_result *out)
{
	apr_time_t last = began;

	out->vms = holders->vms;
	out->vms_holding = holders->vms_holding;
	out->domains = holders->domains;
	out->domains_whole = holders->domains_whole;
	list_unconfirmed(poll, out->silent, sizeof(out->silent));
	for (size_t i = 0; i < poll->count; i++) {
		if (poll->vms[i].held_at > last)
			last = poll->vms[i].held_at;
	}
	out->confirmed_after =
		holders->vms_holding == holders->vms ? last - began : -1;
}

static void wait_for_holders(struct cmd *cmd, struct poll *poll,
			     const struct tbl_manifest *frame, apr_time_t began,
			     struct accept_result *out)
{
	const apr_interval_time_t timeout =
		CLK_MS(cmd->set->control.freshness_timeout_ms);
	const apr_time_t written = clk_now(cmd->clk);
	apr_time_t majority_at = 0;
	struct rev_holders holders = {0};

	/* Without entry VMs, none can serve under an older table. */
	if (!poll->count) {
		out->accepted = true;
		out->accepted_after = written - began;
	}
	while (poll->count &&
	       clk_now(cmd->clk) - written < MAX_WAIT_TIMEOUTS * timeout) {
		const apr_time_t now = clk_now(cmd->clk);

		if (!count_holders(poll, frame, &holders))
			break;
		if (!majority_at && rev_held_by_majority(&holders))
			majority_at = now;
		if (!out->accepted &&
		    rev_accepted(&holders, now - majority_at, timeout)) {
			out->accepted = true;
			out->accepted_after = now - began;
		}
		if (out->accepted &&
		    (!cmd->wait || holders.vms_holding == holders.vms))
			break;
		apr_sleep(CHECK_INTERVAL);
	}
	fill_result(poll, &holders, began, out);
}

int accept_wait(struct cmd *cmd, uint64_t revision, apr_time_t began,
		struct accept_result *out)
{
	struct tbl_manifest *frame = NULL;
	struct poll poll;
	int err = read_frame(cmd, &frame);

	*out = (struct accept_result){.accepted_after = -1,
				      .confirmed_after = -1};
	if (err || !frame)
		return err;
	err = poll_start(&poll, cmd, revision, true);
	if (!err) {
		wait_for_holders(cmd, &poll, frame, began, out);
		poll_stop(&poll);
	}
	ref_put(&frame->ref);
	return err;
}
