/* Classifies complete answers of upstreams. */
#ifndef STEERD_VERDICT_H
#define STEERD_VERDICT_H

#include "steerd/upclient.h"

/* The outcome of the attempt, for what is known of the upstream. */
enum up_outcome verdict_outcome(const struct upclient_call *call);

/*
 * Whether a complete answer can be forwarded unchanged. Callers take some
 * statuses to mean that the request was not run. The upstream may not have
 * meant that, so these are forwarded only for safe requests, and if sealed.
 */
bool verdict_can_forward(const struct upclient_call *call, bool safe);

#endif
