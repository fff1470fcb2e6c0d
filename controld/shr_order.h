/* Which VMs speak for a failure domain's part of the limits, best first. */
#ifndef CONTROLD_SHR_ORDER_H
#define CONTROLD_SHR_ORDER_H

#include "agent/ctl.h"

/*
 * The domain's live VMs by rendezvous hashing; when it has none, those of the
 * first domain of its region that has, since these reach its VMs directly;
 * else of all. Returns how many, at most want.
 */
size_t shr_order(const struct ctl_view *view, struct str domain,
		 const struct vm **out, size_t want);

#endif
