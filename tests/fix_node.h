/* State of a pst-controld behind an RPC server that allows every peer. */
#ifndef TESTS_FIX_NODE_H
#define TESTS_FIX_NODE_H

#include "agent/ctl.h"
#include "controld/node.h"

struct fix_node {
	struct settings set;
	struct curview *curview;
	struct node *node;
};

/* Starts the server on fix_ip(), with neither a table nor a VM list. */
void fix_node_start(struct fix_node *fix, uint16_t port);

/* Sets a VM list with one VM in each failure domain. */
void fix_node_set_list(struct fix_node *fix);

void fix_node_stop(struct fix_node *fix);

/* Revision of the table that the agent holds, or 0. */
uint64_t fix_node_revision(struct ctl_agent *agent);

#endif
