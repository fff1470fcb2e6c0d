/*
 * What the next step of a feed depends on, from the state of its process; the
 * step itself is decided in policy/feedstep.
 */
#ifndef STEERD_FEEDPLAN_H
#define STEERD_FEEDPLAN_H

#include "steerd/calls.h"
#include "steerd/feed.h"

/*
 * Times that replicas are listed again until there is a table: ten polls cost
 * as much as the watch that they replace.
 */
#define FEEDPLAN_TABLE_POLLS 5

/* Whether the store fails this VM, but may serve another one. */
bool feedplan_needs_detour(const struct st *st);

/*
 * Time left, in microseconds, for which the feed waits for other VMs that may
 * be starting; 0: none.
 */
apr_interval_time_t feedplan_settle_time(const struct feed *feed);

/* Delay in microseconds until the poll that follows the last list. */
apr_interval_time_t feedplan_poll_delay(const struct feed *feed);

/*
 * Whether a list that is made again may show what the feed waits for. Takes one
 * of the polls for the table.
 */
bool feedplan_may_poll(struct feed *feed, bool settling);

/* Whether the list of VMs, and with it the relay, is about to be known. */
bool feedplan_awaits_relay(const struct feed *feed);

/* Whether the relay may be asked for a list, or for changes. */
bool feedplan_may_use_relay(const struct feed *feed);

/*
 * Delay after an update, which ends no later than the settling does. Calls to
 * another VM aren't charged, and that VM's own delay collects the changes.
 */
apr_interval_time_t feedplan_update_delay(const struct feed *feed);

/* Time for which a watch of the store waits for a change. */
apr_interval_time_t feedplan_watch_time(const struct feed *feed);

/* Whether the store works, but the answer to this feed's watch was lost. */
bool feedplan_answer_lost(const struct feed *feed, int err);

/* What the call that the feed has begun counts as. */
enum calls_cause feedplan_cause(const struct feed *feed);

#endif
