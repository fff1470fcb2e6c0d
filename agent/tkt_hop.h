/*
 * Whom to ask when a witness is silent or has lost its records: it may have
 * stopped in a planned way and handed them to a successor.
 */
#ifndef AGENT_TKT_HOP_H
#define AGENT_TKT_HOP_H

#include "agent/tkt_peers.h"

/*
 * Looks at the ruling on a call. Returns the VM to send *call to next, with
 * *call changed for it, or 0 with the last word in *ruling. If no successor
 * has the records that is the named witness's: one that answers without them
 * has either handed them over before or never will. vml may be NULL.
 */
uint64_t tkt_hop_next(const struct vml *vml, struct tkt_call *call,
		      struct tkt_ruling *ruling);

#endif
