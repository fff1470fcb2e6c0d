/* RPC server of the table and the VM list (schema/table.x). */
#ifndef CONTROLD_SYNC_H
#define CONTROLD_SYNC_H

#include "controld/node.h"

/*
 * Registers the RPC program; called before rpcs_start(). Borrows node until
 * rpcs_stop(). Returns 0, PST_ERR_FULL or PST_ERR_EXISTS.
 */
int sync_register(struct node *node);

#endif
