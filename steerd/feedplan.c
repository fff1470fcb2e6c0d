#include "steerd/feedplan.h"

#include "common/err.h"
#include "steerd/self.h"

/*
 * Pause before a replica is listed again: in a start the VMs are listed within
 * some calls of each other.
 */
#define POLL_INTERVAL_US 250000

/* Time by which the feed of VMs settles before the others: one call. */
#define VMS_LEAD_TIME_US 200000

/*
 * Time by which the table is confirmed at the latest before the others settle:
 * a VM accepts callers soon after its start whether it can serve or not.
 */
#define CONFIRM_LEAD_TIME_US 250000

bool feedplan_needs_detour(const struct st *st)
{
	return st->downtime.store_unavailable && self_keeps_entry(st->self);
}

apr_interval_time_t feedplan_settle_time(const struct feed *feed)
{
	const struct st *st = feed->st;
	apr_time_t now = clk_now(st->clk);

	if (feed->lists_vms)
		now += VMS_LEAD_TIME_US;
	if (feed->place == FEEDSTEP_UNCONFIRMED && st->routing) {
		/* Callers wait: not for VMs that may not come. */
		if (st->relaytree.grace_failed || feed->relay_list_failed ||
		    downtime_is_recent(&st->downtime, now))
			return 0;
		now += CONFIRM_LEAD_TIME_US;
	}
	return relaytree_grace_left(&st->relaytree, now);
}

apr_interval_time_t feedplan_poll_delay(const struct feed *feed)
{
	const apr_interval_time_t passed =
		clk_now(feed->st->clk) - feed->listed_at;

	return passed < POLL_INTERVAL_US ? POLL_INTERVAL_US - passed : 0;
}

bool feedplan_may_poll(struct feed *feed, bool settling)
{
	const bool has_table = feed->st->routing != NULL;

	if (feed->place == FEEDSTEP_UNLISTED)
		return false;
	if (feed->lists_vms)
		return settling && has_table;
	if (!feed->must_be_current || has_table || !feed->table_polls_left)
		return false;
	feed->table_polls_left--;
	return true;
}

bool feedplan_awaits_relay(const struct feed *feed)
{
	const struct feed_group *group = feed->group;

	for (size_t i = 0; i < group->count && !feed->lists_vms; i++) {
		const struct feed *other = &group->feeds[i];

		if (other->lists_vms && !other->listed && !other->failures)
			return true;
	}
	return false;
}

bool feedplan_may_use_relay(const struct feed *feed)
{
	const struct st *st = feed->st;

	switch (feed->place) {
	case FEEDSTEP_UNLISTED:
		/* After a restore the relay is known from the list before. */
		return !feed->relay_list_failed &&
		       (feed->restarted || (!feed->lists_vms && !feed->listed));
	case FEEDSTEP_CHANGES_MISSING:
		return !feed->relay_list_failed && !feedplan_needs_detour(st);
	case FEEDSTEP_UNCONFIRMED:
		if (feed->relay_list_failed)
			return false;
		/* fallthrough */
	case FEEDSTEP_LISTED:
		return !(feedplan_needs_detour(st) &&
			 st->relaytree.fallback_works);
	}
	return false;
}

enum calls_cause feedplan_cause(const struct feed *feed)
{
	const struct st *st = feed->st;

	if (!feed->current)
		return CALLS_START;
	if (feed->failures ||
	    downtime_is_recent(&st->downtime, feed->called_at))
		return CALLS_OUTAGE;
	return feed->called_at < st->relaytree.direct_until ? CALLS_RELAY_LOST
							    : CALLS_NEWS;
}

apr_interval_time_t feedplan_update_delay(const struct feed *feed)
{
	const apr_interval_time_t settle = feedplan_settle_time(feed);
	const apr_interval_time_t delay =
		(apr_interval_time_t)(feed->update_delay_s *
				      (double)APR_USEC_PER_SEC);

	if (feedstep_asks_vm(feed->feedstep))
		return 0;
	return settle > 0 && settle < delay ? settle : delay;
}

apr_interval_time_t feedplan_watch_time(const struct feed *feed)
{
	return feedstep_watch_time(CLK_MS(feed->st->set->bounds.leave_ms));
}

bool feedplan_answer_lost(const struct feed *feed, int err)
{
	const struct feedstep_failure failure = {
		.called_at = feed->called_at,
		.now = clk_now(feed->st->clk),
		.wait = feedplan_watch_time(feed),
		.answered_since = feed->st->relaytree.fresh_at,
	};

	return err == PST_ERR_TIMEOUT && feedstep_answer_lost(&failure);
}
