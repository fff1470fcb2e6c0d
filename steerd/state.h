/*
 * Follows the store and applies its changes to this process: the manifest,
 * evacuations, upstreams and the entry VMs.
 */
#ifndef STEERD_STATE_H
#define STEERD_STATE_H

#include "steerd/st.h"

/* Prefix of the keys under which entry VMs write their own entries. */
#define STATE_PREFIX_VMS "pst/vm/"

/*
 * Starts to follow the store and to serve peers. Returns 0, PST_ERR_NOMEM,
 * PST_ERR_IO, or PST_ERR_INVALID for a malformed peer address.
 */
int state_start(struct st *st);

#endif
