#include "policy/rev.h"

#include <stdlib.h>

#include "common/err.h"

/* The clocks of two VMs may differ in rate by 1 part in this many. */
#define CLOCK_DRIFT_DIVISOR 100

static int compare_latest_first(const void *a, const void *b)
{
	const apr_time_t x = *(const apr_time_t *)a;
	const apr_time_t y = *(const apr_time_t *)b;

	return (x < y) - (x > y);
}

static bool is_majority(size_t part, size_t all)
{
	return part * 2 > all;
}

/* How far the wall and the monotonic clock diverged since the last tick. */
static apr_interval_time_t clock_divergence(const struct rev *rev,
					    apr_time_t now, apr_time_t wall)
{
	const apr_interval_time_t divergence =
		(wall - rev->last_wall) - (now - rev->last_tick);

	if (!rev->ticked)
		return 0;
	return divergence < 0 ? -divergence : divergence;
}

void rev_init(struct rev *rev, apr_interval_time_t freshness_timeout,
	      apr_interval_time_t pause_bound)
{
	*rev = (struct rev){
		.freshness_timeout = freshness_timeout,
		.pause_bound = pause_bound,
	};
}

void rev_allow_confirm(struct rev *rev)
{
	rev->may_confirm = true;
}

bool rev_note_exists(struct rev *rev, uint64_t revision)
{
	if (revision > rev->newest_known)
		rev->newest_known = revision;
	return revision > rev->revision;
}

int rev_set_held(struct rev *rev, uint64_t revision)
{
	if (revision < rev->revision)
		return PST_ERR_STALE;
	rev->revision = revision;
	rev_note_exists(rev, revision);
	return 0;
}

bool rev_confirm(struct rev *rev, uint64_t newest, apr_time_t at)
{
	rev_note_exists(rev, newest);
	if (!rev->revision || rev->newest_known > rev->revision ||
	    newest < rev->revision)
		return false;
	if (!rev->may_confirm || at < rev->not_before)
		return false;
	if (rev->confirmed && at <= rev->confirmed_at)
		return false;
	rev->confirmed_at = at;
	rev->confirmed = true;
	rev->voter = true;
	return true;
}

apr_interval_time_t rev_confirmation_age(const struct rev *rev, apr_time_t now)
{
	return rev->confirmed ? now - rev->confirmed_at : REV_NEVER;
}

bool rev_is_fresh(const struct rev *rev, apr_time_t now, apr_time_t wall)
{
	return rev_confirmation_age(rev, now) <= rev->freshness_timeout &&
	       clock_divergence(rev, now, wall) <= rev->pause_bound;
}

apr_interval_time_t rev_tick(struct rev *rev, apr_time_t now, apr_time_t wall)
{
	const apr_interval_time_t divergence = clock_divergence(rev, now, wall);

	rev->ticked = true;
	rev->last_tick = now;
	rev->last_wall = wall;
	if (divergence <= rev->pause_bound)
		return 0;
	rev->confirmed = false;
	rev->not_before = now;
	return divergence;
}

bool rev_majority(const struct rev_vote *votes, size_t count, uint64_t held,
		  apr_time_t *at)
{
	apr_time_t *times = calloc(count + 1, sizeof(*times));
	size_t agree = 0;
	bool found;

	if (!times)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (votes[i].valid && votes[i].revision <= held)
			times[agree++] = votes[i].asked_at;
	}
	found = is_majority(agree, count);
	if (found) {
		qsort(times, agree, sizeof(*times), compare_latest_first);
		*at = times[count / 2];
	}
	free(times);
	return found;
}

bool rev_held_by_majority(const struct rev_holders *holders)
{
	return is_majority(holders->domains_whole, holders->domains);
}

bool rev_accepted(const struct rev_holders *holders,
		  apr_interval_time_t since_majority,
		  apr_interval_time_t freshness_timeout)
{
	if (!rev_held_by_majority(holders))
		return false;
	if (holders->vms_holding == holders->vms)
		return true;
	return since_majority >
	       freshness_timeout + freshness_timeout / CLOCK_DRIFT_DIVISOR;
}
