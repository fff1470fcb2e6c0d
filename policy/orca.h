/* Parses the load reports of upstreams, in the JSON form of ORCA. */
#ifndef POLICY_ORCA_H
#define POLICY_ORCA_H

#include "common/str.h"
#include "policy/broker_types.h"

/* Returns 0, or PST_ERR_INVALID if json is not an object. */
int orca_parse(struct str json, struct load_report *out);

#endif
