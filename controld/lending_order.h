/* Order in which VMs may own a failure domain's part of the limits. */
#ifndef CONTROLD_LENDING_ORDER_H
#define CONTROLD_LENDING_ORDER_H

#include "agent/ctl.h"

/*
 * Ranks the domain's live VMs by rendezvous hashing, best first. If it has
 * none, ranks those of the first domain of its region that has any, since
 * these reach its VMs directly; otherwise all. Returns the count, at most want.
 */
size_t lending_order(const struct ctl_view *view, struct str domain,
		     const struct vm **out, size_t want);

#endif
