/* Handover of witness records to a successor at a planned stop. */
#ifndef AGENT_TKT_HANDOVER_H
#define AGENT_TKT_HANDOVER_H

#include "agent/tkt_serve.h"
#include "common/settings.h"
#include "policy/vmlist.h"

/*
 * Freezes the witnesses of s and sends the records of each to its successor,
 * once. If a message fails, the handover of its witness ends and the records
 * are lost. Blocks for at most one call time-out per message. vmlist is not
 * used after the call.
 */
void tkt_handover(struct tkt_serve *s, const struct settings *set,
		  const struct vmlist *vmlist);

#endif
