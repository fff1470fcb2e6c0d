#include "steerd/self.h"

#include <stdio.h>

#include <jansson.h>

#include "common/err.h"
#include "common/evt.h"
#include "steerd/accounts.h"
#include "steerd/calls.h"
#include "steerd/feedstate.h"
#include "steerd/restore.h"
#include "steerd/state.h"

#define LOG_MODULE "self"

/* Time between two renewals. */
#define RENEW_INTERVAL_S 1.6

/*
 * Shortest delay before a retry. The time from one call to the next is doubled
 * while calls fail, up to RENEW_INTERVAL_S, so that an outage causes no more
 * calls than normal operation.
 */
#define RETRY_MIN_S 0.3

/* Time between two renewals of a relay, whose followers need fresh state. */
#define RENEW_INTERVAL_RELAY_S 0.45

#define KEY_MAX		       (STR_ID_MAX + sizeof(STATE_PREFIX_VMS))

static void next_call(struct self *self);

static void schedule(struct self *self, double delay_s)
{
	ev_timer_stop(self->st->loop, &self->timer);
	ev_timer_set(&self->timer, delay_s, 0);
	ev_timer_start(self->st->loop, &self->timer);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	next_call(timer->data);
}

/* Schedules the next renewal, or ends the lease when leaving. */
static void schedule_renewal(struct self *self)
{
	const struct st *st = self->st;

	if (self->leaving)
		self_leave(self);
	else
		schedule(self, relaytree_has_followers(&st->relaytree,
						       clk_now(st->clk)) &&
					       feed_any_direct(st->feeds)
				       ? RENEW_INTERVAL_RELAY_S
				       : RENEW_INTERVAL_S);
}

/* Delay until the retry; the back-off counts from the failed call's start. */
static double retry_delay(const struct self *self)
{
	const double elapsed_s =
		(double)(clk_now(self->st->clk) - self->called_at) /
		(double)APR_USEC_PER_SEC;
	double interval_s = RETRY_MIN_S;

	for (unsigned i = 0;
	     i < self->failures && interval_s < RENEW_INTERVAL_S; i++)
		interval_s *= 2;
	if (interval_s > RENEW_INTERVAL_S)
		interval_s = RENEW_INTERVAL_S;
	return interval_s - elapsed_s > RETRY_MIN_S ? interval_s - elapsed_s
						    : RETRY_MIN_S;
}

void self_restart(struct self *self)
{
	self->rewriting = self->rewriting || self->written;
	self->lease = 0;
	self->written = false;
	self->failures = 0;
	if (!self->calling && !self->leaving)
		schedule(self, 0);
}

/*
 * Whether the answer is void: it is of an older era of the store, or is about a
 * lease of one. A lease that was granted in the present era is valid.
 */
static bool is_void(struct self *self, const struct plt_reply *reply)
{
	const uint64_t called_in = self->called_in;
	const bool granted = !reply->err && reply->lease;

	if (restore_note_answer(self->st, reply, false) == ERA_OUTDATED)
		return true;
	return called_in && called_in != self->st->era &&
	       !(granted && reply->era == self->st->era);
}

/* Takes in how a call ended; returns whether it succeeded. */
static bool finish_call(struct self *self, const struct plt_reply *reply,
			const char *call)
{
	if (is_void(self, reply)) {
		self->calling = false;
		self->checking = false;
		if (self->leaving)
			self_leave(self);
		else
			schedule(self, RETRY_MIN_S);
		return false;
	}
	self->calling = false;
	self->checking = false;
	if (!reply->err)
		self->st->relaytree.fresh_at = self->called_at;
	st_store_call_ended(self->st, reply->err);
	if (!reply->err) {
		self->failures = 0;
		return true;
	}
	evt_log(SELF_CALL_FAILED, "call=%s error=%s lease=%llu", call,
		err_name(reply->err), (unsigned long long)self->lease);
	if (reply->err == PST_ERR_NOTFOUND) {
		/* The store answers, but the lease has expired: gets another.
		 */
		self->lease = 0;
		self->written = false;
		self->failures = 0;
	}
	if (self->leaving)
		self_leave(self);
	else
		schedule(self, retry_delay(self));
	if (reply->err != PST_ERR_NOTFOUND)
		self->failures++;
	return false;
}

static void on_lease(void *ctx, const struct plt_reply *reply)
{
	struct self *self = ctx;

	if (!finish_call(self, reply, "lease"))
		return;
	self->lease = reply->lease;
	accounts_note_renewal(self->st->accounts, self->called_at);
	if (self->leaving)
		self_leave(self);
	else
		next_call(self);
}

static void on_put(void *ctx, const struct plt_reply *reply)
{
	struct self *self = ctx;

	if (!finish_call(self, reply, "put"))
		return;
	self->written = true;
	self->rewriting = false;
	evt_log(SELF_LISTED, "lease=%llu revision=%llu",
		(unsigned long long)self->lease,
		(unsigned long long)reply->revision);
	schedule_renewal(self);
}

static void on_renewed(void *ctx, const struct plt_reply *reply)
{
	struct self *self = ctx;

	if (!finish_call(self, reply, "keep"))
		return;
	accounts_note_renewal(self->st->accounts, self->called_at);
	schedule_renewal(self);
}

/* Writes the key of the entry. */
static void put_key(const struct self *self, char key[KEY_MAX])
{
	snprintf(key, KEY_MAX, STATE_PREFIX_VMS "%.*s",
		 STR_ARG(self->st->set->vm.id));
}

static void put_entry(struct self *self)
{
	const struct settings *set = self->st->set;
	char key[KEY_MAX];
	char value[256];

	put_key(self, key);
	snprintf(value, sizeof(value),
		 "{\"front\":\"%.*s\",\"domain\":\"%.*s\",\"peer\":\"%.*s\","
		 "\"link_mbps\":%u}",
		 STR_ARG(set->steer.front), STR_ARG(set->vm.failure_domain),
		 STR_ARG(set->steer.peer), (unsigned)set->steer.link_mbps);
	plt_put(self->st->store, str_from_c(key), str_from_c(value),
		self->lease, on_put, self);
}

static void next_call(struct self *self)
{
	if (self->calling || self->leaving)
		return;
	/* A VM that is listed gets callers, so it must be able to serve. */
	if (!st_nearly_ready(self->st)) {
		schedule(self, RETRY_MIN_S);
		return;
	}
	self->calling = true;
	self->called_at = clk_now(self->st->clk);
	self->called_in = self->st->era;
	calls_count(!self->written   ? CALLS_START
		    : self->failures ? CALLS_OUTAGE
				     : CALLS_RENEWAL);
	if (!self->lease)
		plt_grant_lease(self->st->store, SELF_LEASE_MS, on_lease, self);
	else if (!self->written)
		put_entry(self);
	else
		plt_renew_lease(self->st->store, self->lease, on_renewed, self);
}

void self_start(struct self *self)
{
	ev_timer_init(&self->timer, on_timer, 0, 0);
	self->timer.data = self;
	next_call(self);
}

void self_list(struct self *self)
{
	/* After a failed call the back-off goes on. */
	if (!self->lease && !self->failures)
		next_call(self);
}

void self_renew(struct self *self)
{
	if (!self->calling && !self->leaving && self->written)
		schedule(self, 0);
}

bool self_is_listed(const struct self *self)
{
	return self->written && !self->leaving;
}

bool self_keeps_entry(const struct self *self)
{
	return (self->written || self->rewriting) && !self->leaving;
}

bool self_is_checking(const struct self *self)
{
	return self->checking;
}

void self_check_store(struct self *self)
{
	if (!self_is_listed(self) || self->failures)
		return;
	self->checking = true;
	self_renew(self);
}

static void on_end(void *ctx, const struct plt_reply *reply)
{
	struct self *self = ctx;

	evt_log(SELF_LEFT, "error=%s", err_name(reply->err));
	self->lease = 0;
	self->calling = false;
	if (self->rewriting)
		self_leave(self);
}

/* The lease of before a restore may be another VM's: only the key is ended. */
static void delete_entry(struct self *self)
{
	char key[KEY_MAX];

	self->rewriting = false;
	put_key(self, key);
	plt_delete(self->st->store, str_from_c(key), on_end, self);
}

void self_leave(struct self *self)
{
	self->leaving = true;
	ev_timer_stop(self->st->loop, &self->timer);
	if (self->calling || (!self->lease && !self->rewriting))
		return;
	self->calling = true;
	calls_count(CALLS_STOP);
	if (self->lease)
		plt_revoke_lease(self->st->store, self->lease, on_end, self);
	else
		delete_entry(self);
}
