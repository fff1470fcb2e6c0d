#include "agent/hold.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "table"

#define US_PER_MS  1000

static bool has_manifest(const struct tbl_part *parts, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(parts[i].key, STR_LIT(TBL_KEY_MANIFEST)))
			return true;
	}
	return false;
}

/* A changed manifest needs every part; else the changed ones are enough. */
static int build(struct hold *hold, uint64_t revision, struct tbl **out)
{
	struct tbl_problem problem = {0};
	struct tbl_part *parts = NULL;
	size_t count = 0;
	const uint64_t applied = hold->tbl ? hold->tbl->revision : 0;
	int err = pts_since(hold->pts, applied, &parts, &count);

	if (!err && applied && has_manifest(parts, count)) {
		free(parts);
		parts = NULL;
		if (hold->lean && !hold->whole)
			return PST_ERR_AGAIN;
		err = pts_since(hold->pts, 0, &parts, &count);
	}
	if (!err)
		err = tbl_apply(out, hold->tbl, parts, count, revision,
				&problem);
	free(parts);
	if (err)
		evt_log(TABLE_REFUSED,
			"revision=%llu service=%s cell=%s err=%s",
			(unsigned long long)revision, problem.service.ptr,
			problem.cell.ptr, err_name(err));
	return err;
}

int hold_init(struct hold *hold, const struct settings *set,
	      const struct clk *clk)
{
	memset(hold, 0, sizeof(*hold));
	hold->clk = clk;
	rev_init(&hold->rev, CLK_MS(set->control.freshness_timeout_ms),
		 CLK_MS(set->table.pause_ms));
	return pts_create(&hold->pts);
}

void hold_done(struct hold *hold)
{
	tbl_put(hold->tbl);
	pts_destroy(hold->pts);
}

int hold_keep(struct hold *hold, const struct tbl_part *parts, size_t count)
{
	size_t taken;

	return pts_take(hold->pts, parts, count, &taken);
}

int hold_apply(struct hold *hold, uint64_t revision, const char *source,
	       bool *changed)
{
	struct tbl *tbl = NULL;
	int err;

	*changed = false;
	if (revision < hold->rev.revision) {
		evt_log(TABLE_OLDER, "held=%llu offered=%llu source=%s",
			(unsigned long long)hold->rev.revision,
			(unsigned long long)revision, source);
		return PST_ERR_STALE;
	}
	if (hold->tbl && revision == hold->tbl->revision)
		return 0;
	err = build(hold, revision, &tbl);
	if (err == PST_ERR_NOMEM || err == PST_ERR_AGAIN || (err && !hold->tbl))
		return err;
	rev_hold(&hold->rev, revision);
	if (hold->lean)
		pts_clear(hold->pts);
	hold->whole = false;
	if (err)
		return err;
	tbl_put(hold->tbl);
	hold->tbl = tbl;
	*changed = true;
	evt_log(TABLE_APPLIED, "revision=%llu source=%s",
		(unsigned long long)revision, source);
	return 0;
}

bool hold_tick(struct hold *hold, bool was_fresh)
{
	const apr_time_t now = clk_now(hold->clk);
	const apr_interval_time_t gap =
		rev_tick(&hold->rev, now, apr_time_now());
	const bool fresh = rev_fresh(&hold->rev, now, apr_time_now());
	const apr_interval_time_t age = rev_age(&hold->rev, now);

	if (gap)
		evt_log(PAUSE_DETECTED, "gap_ms=%lld",
			(long long)gap / US_PER_MS);
	if (was_fresh && !fresh)
		evt_log(TABLE_STALE, "revision=%llu age_ms=%lld",
			(unsigned long long)hold->rev.revision,
			age == REV_NEVER ? -1 : (long long)age / US_PER_MS);
	else if (!was_fresh && fresh)
		evt_log(TABLE_FRESH, "revision=%llu",
			(unsigned long long)hold->rev.revision);
	return fresh;
}
