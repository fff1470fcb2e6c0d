/*
 * Routes an operation whose witness does not reply or has lost its records to
 * the successors: the witness may have stopped and handed its records over.
 */
#ifndef AGENT_TKT_HOP_H
#define AGENT_TKT_HOP_H

#include "agent/tkt_peers.h"

/*
 * Evaluates the ruling on a call. Returns the VM to which *call is to be sent
 * next, and updates *call for it; or returns 0 with the final ruling in
 * *ruling. If no successor has the records, the final ruling is that of the
 * witness named by the ticket: when it replies without the records, it has
 * handed them over before or never will. vmlist may be NULL.
 */
uint64_t tkt_hop_next(const struct vmlist *vmlist, struct tkt_call *call,
		      struct tkt_ruling *ruling);

#endif
