/* HTTP endpoints for look-ups of VMs, readiness checks and metrics. */
#ifndef STEERD_ASKS_H
#define STEERD_ASKS_H

#include "steerd/st.h"

/* Answers look-ups of VMs; ctx is the struct st. */
extern const struct srv_ops asks_directory;

/* Answers readiness checks and /metrics; ctx is the struct st. */
extern const struct srv_ops asks_ready;

#endif
