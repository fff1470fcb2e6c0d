#include "policy/era.h"

enum era_verdict era_note(uint64_t *known, uint64_t stated, bool from_vm)
{
	const uint64_t before = *known;

	if (!stated)
		return before && from_vm ? ERA_OUTDATED : ERA_CURRENT;
	if (stated < before)
		return ERA_OUTDATED;
	*known = stated;
	return before && stated > before ? ERA_ROSE : ERA_CURRENT;
}
