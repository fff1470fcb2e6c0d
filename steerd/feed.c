#include "steerd/feed.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "steerd/calls.h"
#include "steerd/feedplan.h"
#include "steerd/feedstate.h"
#include "steerd/restore.h"
#include "steerd/self.h"

#define LOG_MODULE "feed"

/*
 * Back-off after a failed call, doubled for each further failure. The longest
 * delay, followed by a list, is within the users' bound on the time in which
 * a VM is in touch with the store again.
 */
#define RETRY_FIRST_S	    0.1
#define RETRY_MAX_DOUBLINGS 4

/*
 * Longest wait while the VM's lease renewals, or another feed, probe whether
 * the store is back. This feed is woken when any call of the VM is answered,
 * since a watch that works again has no answer until something changes.
 */
#define WAKE_TIMEOUT_S 4.0

/* Delay before the next call to a relay that may have lost the store too. */
#define RELAY_RETRY_S 0.4

static void next_call(struct feed *feed);
static void relay_failed(struct feed *feed, int err);
static void detour_failed(struct feed *feed);

static double seconds(apr_interval_time_t t)
{
	return (double)t / (double)APR_USEC_PER_SEC;
}

static void schedule(struct feed *feed, double delay_s)
{
	ev_timer_stop(feed->st->loop, &feed->timer);
	ev_timer_set(&feed->timer, delay_s, 0);
	ev_timer_start(feed->st->loop, &feed->timer);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct feed *feed = timer->data;

	(void)loop;
	(void)events;
	if (feed->feedstep == FEEDSTEP_POLL_REPLICA) {
		feed->place = FEEDSTEP_UNLISTED;
		feed->listed = false;
	}
	next_call(feed);
}

static void apply_reply(struct feed *feed, const struct plt_reply *reply)
{
	if (reply->damaged)
		evt_log(FEED_DAMAGED, "prefix=%.*s items=%zu",
			STR_ARG(feed->prefix), reply->damaged);
	for (size_t i = 0; i < reply->count; i++) {
		const struct plt_item *item = &reply->items[i];
		const struct changelog_change change = {
			.key = item->key,
			.value = item->value,
			.revision = item->revision,
			.gone = item->gone,
		};

		if (keys_note(&feed->keys, item) ||
		    changelog_add(&feed->changes, &change))
			evt_log(FEED_LOST, "prefix=%.*s error=%s revision=%llu",
				STR_ARG(feed->prefix), err_name(PST_ERR_NOMEM),
				(unsigned long long)feed->revision);
		feed->ops->changed(feed->st, item);
	}
}

static void report_key(void *ctx, const struct plt_item *item)
{
	struct feed *feed = ctx;

	feed->ops->changed(feed->st, item);
}

static bool another_feed_probes(const struct feed *feed)
{
	const struct feed_group *group = feed->group;

	for (size_t i = 0; i < group->count; i++) {
		const struct feed *other = &group->feeds[i];

		if (other != feed && other->failures &&
		    other->feedstep != FEEDSTEP_WAIT &&
		    !feedstep_asks_vm(other->feedstep))
			return true;
	}
	return false;
}

void feed_wake_waiting(struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		if (group->feeds[i].feedstep == FEEDSTEP_WAIT)
			schedule(&group->feeds[i], 0);
	}
}

static void wait_for_wake(struct feed *feed, double timeout_s)
{
	feed->feedstep = FEEDSTEP_WAIT;
	schedule(feed, timeout_s);
}

static void call_failed(struct feed *feed, int err)
{
	const unsigned step = feed->failures < RETRY_MAX_DOUBLINGS
				      ? feed->failures
				      : RETRY_MAX_DOUBLINGS;

	st_store_call_ended(feed->st, err);
	if (!feed->failures++)
		evt_log(FEED_LOST, "prefix=%.*s error=%s revision=%llu",
			STR_ARG(feed->prefix), err_name(err),
			(unsigned long long)feed->revision);
	if (feed->lists_vms && !feed->listed)
		feed_wake_waiting(feed->group);
	/* Another VM may still have the changes after this revision. */
	if (feed->place == FEEDSTEP_CHANGES_MISSING)
		feed->place = FEEDSTEP_LISTED;
	if (err == PST_ERR_STALE) {
		/* Other watches may have lost changes without an error. */
		feed_relist_all(feed->group);
		schedule(feed, RETRY_FIRST_S);
		return;
	}
	self_check_store(feed->st->self);
	if (another_feed_probes(feed))
		wait_for_wake(feed, WAKE_TIMEOUT_S);
	else
		schedule(feed, RETRY_FIRST_S * (double)(1U << step));
}

static void call_succeeded(struct feed *feed)
{
	st_store_call_ended(feed->st, 0);
	if (feed->failures)
		evt_log(FEED_BACK, "prefix=%.*s failures=%u",
			STR_ARG(feed->prefix), feed->failures);
	feed->failures = 0;
}

/* The store answered a call of this feed, at its newest revision. */
static void note_store_answer(const struct feed *feed)
{
	struct relaytree *relaytree = &feed->st->relaytree;

	if (feed->called_at > relaytree->fresh_at)
		relaytree->fresh_at = feed->called_at;
}

/* All changes are known up to now: what is listed may be used. */
static void become_current(struct feed *feed)
{
	feed->place = FEEDSTEP_LISTED;
	feed->current = true;
	if (feed->ops->listed)
		feed->ops->listed(feed->st);
}

static void log_relay_left(const struct feed *feed, int err)
{
	evt_log(RELAY_LEFT, "relay=%.*s prefix=%.*s error=%s",
		STR_ARG(plt_store_addr(feed->st->relay)), STR_ARG(feed->prefix),
		err_name(err));
}

/* The VM that is asked in place of the store has answered. */
static void detour_succeeded(struct feed *feed)
{
	relaytree_fallback_succeeded(&feed->st->relaytree, &feed->st->vms,
				     feed->st->set->vm.id,
				     feed->detour_attempt);
	feed_wake_waiting(feed->group);
}

/* Another VM did not list the keys: the store does, or a further VM. */
static void list_of_vm_failed(struct feed *feed, int err)
{
	log_relay_left(feed, err);
	if (feedplan_needs_detour(feed->st)) {
		detour_failed(feed);
		return;
	}
	feed->relay_list_failed = true;
	next_call(feed);
}

/* Makes the call again, elsewhere if the answer was not the store's own. */
static void answer_outdated(struct feed *feed)
{
	switch (feed->feedstep) {
	case FEEDSTEP_LIST_RELAY:
		list_of_vm_failed(feed, PST_ERR_STALE);
		return;
	case FEEDSTEP_WATCH_RELAY:
	case FEEDSTEP_WATCH_FALLBACK:
		relay_failed(feed, PST_ERR_UNAVAILABLE);
		return;
	case FEEDSTEP_LIST_REPLICA:
		feed->replica_outdated = true;
		break;
	case FEEDSTEP_LIST:
	case FEEDSTEP_POLL_REPLICA:
	case FEEDSTEP_CATCH_UP:
	case FEEDSTEP_WATCH_STORE:
	case FEEDSTEP_WAIT:
		break;
	}
	schedule(feed, RETRY_FIRST_S);
}

/* Whether an answer may be used; else the feed goes on from here. */
static bool is_of_this_era(struct feed *feed, const struct plt_reply *reply)
{
	switch (restore_note_answer(feed->st, reply,
				    feedstep_asks_vm(feed->feedstep))) {
	case ERA_CURRENT:
		return true;
	case ERA_ROSE:
		break;
	case ERA_OUTDATED:
		answer_outdated(feed);
		break;
	}
	return false;
}

static void on_range(void *ctx, const struct plt_reply *reply)
{
	struct feed *feed = ctx;

	feed->call = NULL;
	if (!is_of_this_era(feed, reply))
		return;
	if (feed->feedstep == FEEDSTEP_LIST_RELAY &&
	    (reply->err ||
	     (feed->listed && reply->revision < feed->revision))) {
		/* A list that replaces another must not be older. */
		list_of_vm_failed(feed,
				  reply->err ? reply->err : PST_ERR_STALE);
		return;
	}
	if (reply->err) {
		call_failed(feed, reply->err);
		return;
	}
	if (feed->feedstep != FEEDSTEP_LIST_RELAY)
		call_succeeded(feed);
	else if (feedplan_needs_detour(feed->st))
		detour_succeeded(feed);
	if (!feed->after.len)
		keys_begin_list(&feed->keys);
	/* Replicas may lag by different times, so take the oldest page. */
	if (!feed->after.len || reply->revision < feed->revision)
		feed->revision = reply->revision;
	apply_reply(feed, reply);
	if (reply->more && reply->count) {
		buf_reset(&feed->after);
		if (!buf_add(&feed->after,
			     reply->items[reply->count - 1].key)) {
			next_call(feed);
			return;
		}
	}
	buf_reset(&feed->after);
	keys_end_list(&feed->keys, feed->revision, report_key, feed);
	evt_log(FEED_LISTED, "prefix=%.*s keys=%zu revision=%llu from=%s",
		STR_ARG(feed->prefix), feed->keys.count,
		(unsigned long long)feed->revision,
		feedstep_name(feed->feedstep));
	changelog_reset(&feed->changes, feed->revision);
	feed->listed = true;
	feed->restarted = false;
	feed->replica_outdated = false;
	if (feed->feedstep == FEEDSTEP_LIST)
		note_store_answer(feed);
	if (feed->feedstep == FEEDSTEP_LIST || !feed->must_be_current)
		become_current(feed);
	else
		feed->place = feed->st->routing ? FEEDSTEP_UNCONFIRMED
						: FEEDSTEP_LISTED;
	next_call(feed);
	/* Other VMs may wait for this list. */
	if (feed->group->on_update)
		feed->group->on_update(feed->group->ctx, feed);
}

/* Makes the feed of VMs try a detour after the delay. */
static void schedule_detour(struct feed_group *group, double delay_s)
{
	for (size_t i = 0; i < group->count; i++) {
		struct feed *feed = &group->feeds[i];

		if (!feed->lists_vms ||
		    (feed->call && !feedstep_asks_vm(feed->feedstep)))
			continue;
		if (feed->call)
			plt_cancel(feed->call);
		feed->call = NULL;
		schedule(feed, delay_s);
	}
}

/* Neither the store nor the VM that was asked could answer: tries another. */
static void detour_failed(struct feed *feed)
{
	struct st *st = feed->st;

	if (feed->detour_attempt == st->relaytree.fallback_turn) {
		schedule_detour(feed->group,
				seconds(relaytree_fallback_failed(
					&st->relaytree, &st->vms,
					st->set->vm.id, clk_now(st->clk))));
		if (feed->lists_vms)
			return;
	}
	next_call(feed);
}

/*
 * The relay could not answer: watches the store from the same revision on, if
 * the store answers this VM.
 */
static void relay_failed(struct feed *feed, int err)
{
	struct st *st = feed->st;
	const apr_time_t now = clk_now(st->clk);

	log_relay_left(feed, err);
	if (feed->feedstep == FEEDSTEP_WATCH_FALLBACK) {
		detour_failed(feed);
		return;
	}
	/*
	 * A relay that began to follow after this feed's revision can still be
	 * used once the changes in between were read from the store.
	 */
	if (err == PST_ERR_STALE && !feedplan_needs_detour(st)) {
		feed->place = FEEDSTEP_CHANGES_MISSING;
	} else if (relaytree_failed(&st->relaytree, st->downtime.ended_at,
				    now)) {
		schedule(feed, RELAY_RETRY_S);
		return;
	} else {
		self_check_store(st->self);
		if (feedplan_needs_detour(st))
			schedule_detour(feed->group, 0);
		if (feedplan_needs_detour(st) && feed->lists_vms)
			return;
	}
	next_call(feed);
}

static void on_watch(void *ctx, const struct plt_reply *reply)
{
	struct feed *feed = ctx;

	feed->call = NULL;
	if (!is_of_this_era(feed, reply))
		return;
	if (reply->err && feedstep_asks_vm(feed->feedstep)) {
		relay_failed(feed, reply->err);
		return;
	}
	if (feedplan_answer_lost(feed, reply->err)) {
		evt_log(FEED_ANSWER_LOST, "prefix=%.*s waited_ms=%lld",
			STR_ARG(feed->prefix),
			(long long)(clk_now(feed->st->clk) - feed->called_at) /
				1000);
		next_call(feed);
		return;
	}
	if (reply->err) {
		call_failed(feed, reply->err);
		return;
	}
	if (feedstep_asks_vm(feed->feedstep)) {
		feed->relay_list_failed = false;
		feed->relay_fresh_at = feed->called_at - reply->age;
		if (feed->feedstep == FEEDSTEP_WATCH_FALLBACK)
			detour_succeeded(feed);
		else
			feed_wake_waiting(feed->group);
	} else {
		note_store_answer(feed);
		call_succeeded(feed);
	}
	apply_reply(feed, reply);
	if (reply->revision > feed->revision)
		feed->revision = reply->revision;
	changelog_advance(&feed->changes, feed->revision);
	if (feed->place != FEEDSTEP_LISTED || !feed->current)
		become_current(feed);
	if (feed->group->on_update)
		feed->group->on_update(feed->group->ctx, feed);
	if (reply->count)
		schedule(feed, seconds(feedplan_update_delay(feed)));
	else
		next_call(feed);
}

/* Returns the VM that may be asked now, or NULL, and says which it is. */
static struct plt_store *choose_vm(const struct feed *feed,
				   struct feedstep_input *view)
{
	struct st *st = feed->st;
	struct plt_store *vm = NULL;

	if (feedplan_may_use_relay(feed)) {
		vm = st_relay(st);
		view->has_relay = vm != NULL;
	}
	if ((feed->place == FEEDSTEP_LISTED ||
	     feed->place == FEEDSTEP_UNCONFIRMED || feed->restarted) &&
	    feedplan_needs_detour(st) && !vm) {
		vm = st_fallback(st, feed->lists_vms);
		/* After a restore it is listed from like a relay. */
		view->has_relay = feed->restarted && vm;
		view->has_fallback = !feed->restarted && vm;
	}
	return vm;
}

static void next_call(struct feed *feed)
{
	struct st *st = feed->st;
	const apr_interval_time_t settle = feedplan_settle_time(feed);
	struct feedstep_input view = {
		.list_state = feed->place,
		.stale_list_allowed = !feed->listed && !feed->replica_outdated,
		.store_restored = feed->restarted,
		.may_poll = feedplan_may_poll(feed, settle > 0),
		.awaits_relay = feedplan_awaits_relay(feed),
		.renewing_lease = self_keeps_entry(st->self),
		.store_failing = st->downtime.store_unavailable ||
				 self_is_checking(st->self),
		.in_start_grace = settle > 0,
		.awaits_table = feed->after_table && !st->routing,
	};
	struct plt_store *const vm = choose_vm(feed, &view);

	feed->detour_attempt = st->relaytree.fallback_turn;
	feed->relay_fresh_at = feed_fresh_at(feed);
	feed->called_at = clk_now(st->clk);
	feed->feedstep = feedstep_next(&view);
	switch (feed->feedstep) {
	case FEEDSTEP_LIST:
	case FEEDSTEP_LIST_REPLICA:
		calls_count(feedplan_cause(feed));
		feed->listed_at = feed->called_at;
		feed->call = plt_list_keys(
			st->store, feed->prefix, buf_str(&feed->after),
			feed->feedstep == FEEDSTEP_LIST_REPLICA, on_range,
			feed);
		return;
	case FEEDSTEP_LIST_RELAY:
		feed->call =
			plt_list_vm(vm, feed->prefix, st->era, on_range, feed);
		return;
	case FEEDSTEP_POLL_REPLICA:
		schedule(feed, seconds(feedplan_poll_delay(feed)));
		return;
	case FEEDSTEP_CATCH_UP:
		calls_count(feedplan_cause(feed));
		feed->call = plt_catch_up(st->store, feed->prefix,
					  feed->revision, on_watch, feed);
		return;
	case FEEDSTEP_WATCH_STORE:
		calls_count(feedplan_cause(feed));
		feed->call = plt_watch(
			st->store, feed->prefix, feed->revision,
			(unsigned)(feedplan_watch_time(feed) / CLK_MS(1)),
			on_watch, feed);
		return;
	case FEEDSTEP_WATCH_RELAY:
	case FEEDSTEP_WATCH_FALLBACK:
		feed->call =
			plt_watch_vm(vm, feed->prefix, feed->revision, st->era,
				     !view.store_failing,
				     relaytree_stated_age(&st->relaytree,
							  feed->relay_fresh_at,
							  feed->called_at),
				     on_watch, feed);
		return;
	case FEEDSTEP_WAIT:
		wait_for_wake(feed,
			      settle > 0 ? seconds(settle) : WAKE_TIMEOUT_S);
		return;
	}
}

/* Cancels the call in progress, if any, and makes another one soon. */
static void restart_call(struct feed *feed)
{
	if (!feed->call)
		return;
	plt_cancel(feed->call);
	feed->call = NULL;
	schedule(feed, RETRY_FIRST_S);
}

static void relist(struct feed *feed)
{
	feed->place = FEEDSTEP_UNLISTED;
	buf_reset(&feed->after);
	restart_call(feed);
}

void feed_resume_all(struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		if (group->feeds[i].place != FEEDSTEP_UNLISTED)
			restart_call(&group->feeds[i]);
	}
	feed_wake_waiting(group);
}

void feed_prefer_relay(struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		struct feed *feed = &group->feeds[i];

		if (!feed->call || feed->feedstep != FEEDSTEP_WATCH_STORE ||
		    !feed_is_direct(feed) || !st_relay(feed->st))
			continue;
		plt_cancel(feed->call);
		feed->call = NULL;
		next_call(feed);
	}
}

void feed_relist_all(struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++)
		relist(&group->feeds[i]);
}

void feed_restart_all(struct feed_group *group)
{
	for (size_t i = 0; i < group->count; i++) {
		struct feed *feed = &group->feeds[i];

		if (feed->call)
			plt_cancel(feed->call);
		feed->call = NULL;
		feed->place = FEEDSTEP_UNLISTED;
		feed->revision = 0;
		buf_reset(&feed->after);
		feed->relay_list_failed = false;
		feed->replica_outdated = true;
		feed->restarted = true;
		schedule(feed, 0);
	}
	if (group->on_restart)
		group->on_restart(group->ctx);
}

void feed_each_key(const struct feed_group *group, struct str prefix,
		   void (*fn)(void *ctx, const struct plt_item *item),
		   void *ctx)
{
	for (size_t i = 0; i < group->count; i++) {
		if (str_eq(group->feeds[i].prefix, prefix))
			keys_each(&group->feeds[i].keys, fn, ctx);
	}
}

void feed_start(struct feed *feed)
{
	keys_init(&feed->keys, feed->st->pool);
	ev_timer_init(&feed->timer, on_timer, 0, 0);
	feed->timer.data = feed;
	feed->table_polls_left = FEEDPLAN_TABLE_POLLS;
	next_call(feed);
}
