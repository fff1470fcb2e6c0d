/* Alternatives to policy/pace, and results of the model of paces. */
#ifndef FAKES_PACE_RULES_H
#define FAKES_PACE_RULES_H

#include "fakes/pace_model.h"
#include "policy/placement.h"

/* Share of an upstream at first, as in policy/pace, and the least one. */
#define PACESIM_FIRST_LEVEL 0.25
#define PACESIM_LEAST_LEVEL 0.05

/* What a VM knows of an upstream under an alternative rule. */
struct pacesim_alternative {
	double level;
};

/* Records an answer. */
void pacesim_note(enum pacesim_rule rule, struct pacesim_alternative *state,
		  bool shed, apr_interval_time_t took,
		  const struct placement_pick *pick,
		  const struct up_load_report *report);

/* Sets the pace of the upstream, which returned so long ago, by the rule. */
void pacesim_apply(enum pacesim_rule rule,
		   const struct pacesim_alternative *state, struct up *up,
		   apr_interval_time_t age, apr_time_t now);

#endif
