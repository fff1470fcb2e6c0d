/* What is known of a feed's progress, by which others decide. */
#ifndef STEERD_FEEDSTATE_H
#define STEERD_FEEDSTATE_H

#include "steerd/feed.h"

/* Whether all keys are known and the feed watches the store itself. */
bool feed_is_direct(const struct feed *feed);

/* As feed_is_direct(), or through a relay. */
bool feed_is_following(const struct feed *feed);

/*
 * Whether the feed has yet to learn, in a start, which keys there are or where
 * to watch for changes.
 */
bool feed_is_settling(const struct feed *feed);

/* Time up to which the store's changes are known; 0: not following. */
apr_time_t feed_fresh_at(const struct feed *feed);

/* As feed_fresh_at(), of the feed that lists the VMs. */
apr_time_t feed_vms_fresh_at(const struct feed_group *group);

/* Whether any feed watches the store itself. */
bool feed_any_direct(const struct feed_group *group);

/* Whether a feed has yet to list its keys after a restore. */
bool feed_any_restarted(const struct feed_group *group);

#endif
