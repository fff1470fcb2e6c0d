/* Sends the claimant's operations and questions as calls to peers. */
#ifndef AGENT_TKT_CALL_H
#define AGENT_TKT_CALL_H

#include "agent/tkt_peers.h"
#include "policy/tkt_claimant.h"

/* Sends the operation of a TKT_ACT_ARBITRATE to the ticket's witness. */
void tkt_call_send_op(struct tkt_peers *peers, const struct tkt_action *action);

/* Sends the question of a TKT_ACT_ASK to the process that is to be asked. */
void tkt_call_send_query(struct tkt_peers *peers,
			 const struct tkt_action *action);

#endif
