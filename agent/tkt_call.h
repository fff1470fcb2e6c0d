/* Sends what the asker wants of other processes as calls to peers. */
#ifndef AGENT_TKT_CALL_H
#define AGENT_TKT_CALL_H

#include "agent/tkt_peers.h"
#include "policy/tkt_asker.h"

/* TKT_ACT_ARBITRATE of a ticket: an operation for its witness. */
void tkt_call_send_op(struct tkt_peers *peers, const struct tkt_action *action);

/* TKT_ACT_ASK: a question to the owner of the key. */
void tkt_call_send_query(struct tkt_peers *peers,
			 const struct tkt_action *action);

#endif
