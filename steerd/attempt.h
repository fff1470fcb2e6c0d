/* Attempts of a request at upstreams: choice, admission, retries. */
#ifndef STEERD_ATTEMPT_H
#define STEERD_ATTEMPT_H

#include "steerd/flow_state.h"

/*
 * Picks an upstream and starts an attempt there, or refuses the request; the
 * flow may be freed.
 */
void attempt_next(struct flow *flow);

#endif
