/*
 * Handles one request of a caller: matches it to a route, picks an upstream,
 * sends it, retries where that is allowed, and answers.
 */
#ifndef STEERD_FLOW_H
#define STEERD_FLOW_H

#include "steerd/st.h"

/* Operations of the server for callers; their ctx is the struct st. */
extern const struct srv_ops flow_ops;

#endif
