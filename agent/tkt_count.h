/* Counters of the verdicts on keyed requests. */
#ifndef AGENT_TKT_COUNT_H
#define AGENT_TKT_COUNT_H

#include "policy/tkt_types.h"

/* Thread-safe. */
void tkt_count_verdict(enum tkt_verdict verdict);

#endif
