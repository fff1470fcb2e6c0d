/* Connects the ticket agent to pst-controld's VM list and to the store. */
#ifndef AGENT_TKT_BIND_H
#define AGENT_TKT_BIND_H

#include "agent/ctl.h"
#include "agent/ticket.h"

struct tkt_bind;

/* Borrows set, clk and ctl. Returns 0 or the error of tkt_store_create(). */
int tkt_bind_create(struct tkt_bind **out, const struct settings *set,
		    const struct clk *clk, struct ctl_agent *ctl);

/* Call after the agent has stopped. NULL is allowed. */
void tkt_bind_destroy(struct tkt_bind *bind);

struct tkt_env tkt_bind_env(struct tkt_bind *bind);

#endif
