/* Drain marks set by operators, kept in the store below /pst/drain/. */
#ifndef CONTROLD_DRAINS_H
#define CONTROLD_DRAINS_H

#include "policy/liveness.h"
#include "policy/partset.h"

#define DRAINS_PREFIX "/pst/drain/"

/*
 * Lists the VMs that are marked. The array is freed by the caller (free()); its
 * names borrow from partset. Returns 0 or PST_ERR_NOMEM.
 */
int drains_list(const struct partset *partset, struct liveness_drain **out,
		size_t *count);

#endif
