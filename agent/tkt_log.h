/* Log lines of the at-most-once protocol. */
#ifndef AGENT_TKT_LOG_H
#define AGENT_TKT_LOG_H

#include "policy/tkt_claimant.h"
#include "policy/tkt_witness.h"

/* Logs an action of the claimant. */
void tkt_log_action(const struct tkt_action *action);

void tkt_log_end(struct str key, enum tkt_end end);

/* Logs that a witness granted a ticket to a VM that is not its home. */
void tkt_log_handed_over(const struct tkt_op *op);

#endif
