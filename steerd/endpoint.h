/* HTTP endpoints for look-ups of VMs, readiness checks and metrics. */
#ifndef STEERD_ENDPOINT_H
#define STEERD_ENDPOINT_H

#include "steerd/st.h"

/* Answers look-ups of VMs; ctx is the struct st. */
extern const struct srv_ops endpoint_directory;

/* Answers readiness checks and /metrics; ctx is the struct st. */
extern const struct srv_ops endpoint_ready;

#endif
