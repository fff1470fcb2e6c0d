#include "steerd/restore.h"

#include "common/ctr.h"
#include "common/evt.h"

#define LOG_MODULE "restore"

static void begin_era(struct st *st, uint64_t before, const char *from)
{
	evt_log(STORE_RESTORED, "era=%llu before=%llu from=%s",
		(unsigned long long)st->era, (unsigned long long)before, from);
	ctr_add(ctr_get("pst_store_restores_total", "",
			"Rises of the metadata store's era."),
		1);
	st->restored = true;
	downtime_note_restore(&st->downtime, clk_now(st->clk));
	registry_note_restore(&st->registry);
	st->on_restore(st);
}

enum era_verdict
restore_note_answer(struct st *st, const struct plt_reply *reply, bool from_vm)
{
	const char *from = from_vm ? "vm" : "store";
	const uint64_t before = st->era;
	enum era_verdict verdict;

	/* A call without any answer says nothing of the era. */
	if (reply->err && !reply->era)
		return ERA_CURRENT;
	verdict = era_note(&st->era, reply->era, from_vm);
	ctr_set(ctr_get("pst_store_era", "", "Era of the metadata store."),
		st->era);
	switch (verdict) {
	case ERA_CURRENT:
		break;
	case ERA_ROSE:
		begin_era(st, before, from);
		break;
	case ERA_OUTDATED:
		evt_log(STORE_ANSWER_OUTDATED, "era=%llu known=%llu from=%s",
			(unsigned long long)reply->era,
			(unsigned long long)st->era, from);
		ctr_add(ctr_get("pst_store_outdated_answers_total",
				from_vm ? "from=\"vm\"" : "from=\"store\"",
				"Answers of an era before the newest one."),
			1);
		break;
	}
	return verdict;
}
