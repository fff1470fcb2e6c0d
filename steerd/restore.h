/*
 * The metadata store is restored from a copy some seconds old: it has lost what
 * was written since, gives revisions and leases out again, and states a higher
 * era in its answers. All that this process has read of it begins anew with
 * st->on_restore(); what was known stays in use until the new lists are whole.
 */
#ifndef STEERD_RESTORE_H
#define STEERD_RESTORE_H

#include "policy/era.h"
#include "steerd/st.h"

/*
 * Takes in the era of an answer, before anything else of it is used. With
 * ERA_ROSE the feeds and this VM's entry have begun anew, and the answer is
 * void like one that is outdated.
 */
enum era_verdict
restore_note_answer(struct st *st, const struct plt_reply *reply, bool from_vm);

#endif
