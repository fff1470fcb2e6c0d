/* A planned stop of a witness: hands its records to a successor. */
#ifndef AGENT_TKT_HANDOVER_H
#define AGENT_TKT_HANDOVER_H

#include "agent/tkt_serve.h"
#include "common/settings.h"
#include "policy/vml.h"

/*
 * Freezes the witnesses of s and sends the records of each to its successor,
 * once; what fails is lost. Blocks, at most one call timeout for each message
 * and none after a failure. Does not keep the list.
 */
void tkt_handover(struct tkt_serve *s, const struct settings *set,
		  const struct vml *vml);

#endif
