#include "agent/hold.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "table"

#define US_PER_MS  1000

static apr_time_t read_wall(const struct clk *clk)
{
	(void)clk;
	return apr_time_now();
}

static bool has_manifest(const struct tbl_part *parts, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(parts[i].key, STR_LIT(TBL_KEY_MANIFEST)))
			return true;
	}
	return false;
}

static struct hold_refused *find_refused(struct hold *hold,
					 const struct strbuf *service)
{
	for (size_t i = 0; i < hold->refused_count; i++) {
		if (strbuf_eq(&hold->refused[i].service, service))
			return &hold->refused[i];
	}
	return NULL;
}

/* Logs the refusal of a value once. */
static void record_refused(struct hold *hold, const struct tbl_problem *problem,
			   uint64_t mod_revision)
{
	struct hold_refused *refused = find_refused(hold, &problem->service);

	if (refused && refused->mod_revision == mod_revision)
		return;
	if (!refused && hold->refused_count < HOLD_MAX_REFUSED)
		refused = &hold->refused[hold->refused_count++];
	if (refused)
		*refused = (struct hold_refused){
			.service = problem->service,
			.mod_revision = mod_revision,
		};
	evt_log(TABLE_REFUSED, "revision=%llu service=%s cell=%s err=%s",
		(unsigned long long)mod_revision, problem->service.ptr,
		problem->cell.ptr, err_name(problem->err));
}

static bool key_is_service(struct str key, const struct strbuf *service)
{
	const struct str prefix = STR_LIT(TBL_PREFIX_SERVICE);

	return service->len && key.len == prefix.len + service->len &&
	       !memcmp(key.ptr, prefix.ptr, prefix.len) &&
	       !memcmp(key.ptr + prefix.len, service->ptr, service->len);
}

static size_t find_service(const struct tbl_part *parts, size_t count,
			   const struct strbuf *service)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (key_is_service(parts[i].key, service))
			break;
	}
	return i;
}

/* Drops the refusals of values that parts replaces by newer ones. */
static void forget_replaced(struct hold *hold, const struct tbl_part *parts,
			    size_t count)
{
	for (size_t i = 0; i < hold->refused_count;) {
		const struct hold_refused *refused = &hold->refused[i];
		const size_t at = find_service(parts, count, &refused->service);
		const bool replaced =
			refused->service.len
				? at < count && parts[at].mod_revision >
							refused->mod_revision
				: has_manifest(parts, count);

		if (replaced)
			hold->refused[i] = hold->refused[--hold->refused_count];
		else
			i++;
	}
}

/* Leaves out malformed parts until the other parts form a valid table. */
static int apply_valid(struct hold *hold, struct tbl_part *parts, size_t count,
		       uint64_t revision, struct tbl **out)
{
	struct tbl_problem problem = {0};
	struct tbl_part refused;

	forget_replaced(hold, parts, count);
	for (;;) {
		const int err = tbl_apply(out, hold->tbl, parts, count,
					  revision, &problem);
		const size_t at = find_service(parts, count, &problem.service);

		if (err != PST_ERR_INVALID)
			return err;
		if (!hold->tbl || at == count) {
			record_refused(hold, &problem, revision);
			return err;
		}
		record_refused(hold, &problem, parts[at].mod_revision);
		refused = parts[at];
		parts[at] = parts[--count];
		parts[count] = refused;
		if (!count)
			return err;
	}
}

/* Builds a table from new parts, or from all parts if the manifest changed. */
static int build(struct hold *hold, uint64_t revision, struct tbl **out)
{
	struct tbl_part *parts = NULL;
	size_t count = 0;
	const uint64_t applied = hold->tbl ? hold->tbl->revision : 0;
	bool more;
	int err = partset_since(hold->partset, applied, SIZE_MAX, &parts,
				&count, &more);

	if (!err && applied && has_manifest(parts, count)) {
		partset_free(parts, count);
		parts = NULL;
		if (hold->discard_parts && !hold->has_all_parts)
			return PST_ERR_AGAIN;
		err = partset_since(hold->partset, 0, SIZE_MAX, &parts, &count,
				    &more);
	}
	if (!err)
		err = apply_valid(hold, parts, count, revision, out);
	partset_free(parts, count);
	return err;
}

const struct clk *hold_wall_clock(void)
{
	static const struct clk wall = {.now = read_wall};

	return &wall;
}

int hold_init(struct hold *hold, const struct settings *set,
	      const struct clk *clk, const struct clk *wall)
{
	memset(hold, 0, sizeof(*hold));
	hold->clk = clk;
	hold->wall = wall;
	rev_init(&hold->rev, CLK_MS(set->control.freshness_timeout_ms),
		 CLK_MS(set->table.pause_ms));
	return partset_create(&hold->partset);
}

void hold_done(struct hold *hold)
{
	tbl_put(hold->tbl);
	partset_destroy(hold->partset);
}

int hold_store_parts(struct hold *hold, const struct tbl_part *parts,
		     size_t count)
{
	size_t taken;

	return partset_take(hold->partset, parts, count, &taken);
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
	rev_set_held(&hold->rev, revision);
	if (hold->discard_parts)
		partset_clear(hold->partset);
	hold->has_all_parts = false;
	if (err)
		return err;
	tbl_put(hold->tbl);
	hold->tbl = tbl;
	*changed = true;
	evt_log(TABLE_APPLIED, "revision=%llu source=%s",
		(unsigned long long)revision, source);
	return 0;
}

uint64_t hold_in_force(const struct hold *hold)
{
	uint64_t revision = hold->tbl ? hold->tbl->revision : 0;

	for (size_t i = 0; i < hold->refused_count; i++) {
		if (hold->refused[i].mod_revision <= revision)
			revision = hold->refused[i].mod_revision - 1;
	}
	return revision;
}

bool hold_tick(struct hold *hold, bool was_fresh)
{
	const apr_time_t now = clk_now(hold->clk);
	const apr_interval_time_t gap =
		rev_tick(&hold->rev, now, clk_now(hold->wall));
	const bool fresh = rev_is_fresh(&hold->rev, now, clk_now(hold->wall));
	const apr_interval_time_t age = rev_confirmation_age(&hold->rev, now);

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
