/*
 * Which answers of the metadata store are of its present state. Pure.
 *
 * Designed for: a store that is restored from a copy some seconds old. What was
 * written since is gone, revisions and leases are given out again, and the era
 * that its answers state rises by one. Answers of before may still arrive, and
 * other VMs may not know of the restore yet.
 */
#ifndef POLICY_ERA_H
#define POLICY_ERA_H

#include <stdbool.h>
#include <stdint.h>

enum era_verdict {
	ERA_CURRENT,
	/* First answer since a restore: all that was read before is void. */
	ERA_ROSE,
	/* Of a state before a restore. */
	ERA_OUTDATED,
};

/*
 * Takes in the era that an answer states (0: none). *known is the newest one,
 * 0 as long as none was stated. from_vm: another VM answered, which may be the
 * only one not to know of a restore; the store itself states no era only where
 * it has none.
 */
enum era_verdict era_note(uint64_t *known, uint64_t stated, bool from_vm);

#endif
