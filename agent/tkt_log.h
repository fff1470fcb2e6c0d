/* Log lines of the at-most-once protocol. */
#ifndef AGENT_TKT_LOG_H
#define AGENT_TKT_LOG_H

#include "policy/tkt_asker.h"
#include "policy/tkt_witness.h"

/* Writes the line of an action that the asker decided on. */
void tkt_log_action(const struct tkt_action *action);

void tkt_log_end(struct str key, enum tkt_end end);

/* As a witness: a ticket of another home was granted to vm. */
void tkt_log_handed_over(const struct tkt_op *op);

#endif
