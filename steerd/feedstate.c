#include "steerd/feedstate.h"

#include "steerd/feedplan.h"

/* Whether its call waits and was sent while the store answers this VM. */
static bool has_live_call(const struct feed *feed)
{
	const struct downtime *downtime = &feed->st->downtime;

	return feed->call && !downtime->store_unavailable &&
	       feed->called_at >= downtime->ended_at;
}

bool feed_is_direct(const struct feed *feed)
{
	return feed->place == FEEDSTEP_LISTED &&
	       (feed->feedstep == FEEDSTEP_WATCH_STORE ||
		feed->feedstep == FEEDSTEP_CATCH_UP) &&
	       (!feed->failures || has_live_call(feed));
}

bool feed_is_following(const struct feed *feed)
{
	return feed_is_direct(feed) || (feed->place == FEEDSTEP_LISTED &&
					feedstep_asks_vm(feed->feedstep));
}

bool feed_is_settling(const struct feed *feed)
{
	if (!feed->listed || feed->restarted ||
	    (feed->place != FEEDSTEP_UNLISTED &&
	     feed->place != FEEDSTEP_LISTED))
		return true;
	return feed->place == FEEDSTEP_LISTED &&
	       feed->feedstep != FEEDSTEP_WATCH_STORE &&
	       feedplan_settle_time(feed) > 0;
}

apr_time_t feed_fresh_at(const struct feed *feed)
{
	if (!feed_is_following(feed))
		return 0;
	return feedstep_asks_vm(feed->feedstep) ? feed->relay_fresh_at
						: feed->st->relaytree.fresh_at;
}

apr_time_t feed_vms_fresh_at(const struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		if (group->feeds[i].lists_vms)
			return feed_fresh_at(&group->feeds[i]);
	}
	return 0;
}

bool feed_any_direct(const struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		if (feed_is_direct(&group->feeds[i]))
			return true;
	}
	return false;
}

bool feed_any_restarted(const struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		if (group->feeds[i].restarted)
			return true;
	}
	return false;
}
