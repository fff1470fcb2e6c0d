#include "agent/tblcache.h"

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

static struct tblcache_refused *find_refused(struct tblcache *tblcache,
					     const struct strbuf *service)
{
	for (size_t i = 0; i < tblcache->refused_count; i++) {
		if (strbuf_eq(&tblcache->refused[i].service, service))
			return &tblcache->refused[i];
	}
	return NULL;
}

/* Logs the refusal of a value once. */
static void record_refused(struct tblcache *tblcache,
			   const struct tbl_problem *problem,
			   uint64_t mod_revision)
{
	struct tblcache_refused *refused =
		find_refused(tblcache, &problem->service);

	if (refused && refused->mod_revision == mod_revision)
		return;
	if (!refused && tblcache->refused_count < TBLCACHE_MAX_REFUSED)
		refused = &tblcache->refused[tblcache->refused_count++];
	if (refused)
		*refused = (struct tblcache_refused){
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
static void forget_replaced(struct tblcache *tblcache,
			    const struct tbl_part *parts, size_t count)
{
	for (size_t i = 0; i < tblcache->refused_count;) {
		const struct tblcache_refused *refused = &tblcache->refused[i];
		const size_t at = find_service(parts, count, &refused->service);
		const bool replaced =
			refused->service.len
				? at < count && parts[at].mod_revision >
							refused->mod_revision
				: has_manifest(parts, count);

		if (replaced)
			tblcache->refused[i] =
				tblcache->refused[--tblcache->refused_count];
		else
			i++;
	}
}

/* Leaves out malformed parts until the other parts form a valid table. */
static int apply_valid(struct tblcache *tblcache, struct tbl_part *parts,
		       size_t count, uint64_t revision, struct tbl **out)
{
	struct tbl_problem problem = {0};
	struct tbl_part refused;

	forget_replaced(tblcache, parts, count);
	for (;;) {
		const int err = tbl_apply(out, tblcache->tbl, parts, count,
					  revision, &problem);
		const size_t at = find_service(parts, count, &problem.service);

		if (err != PST_ERR_INVALID)
			return err;
		if (!tblcache->tbl || at == count) {
			record_refused(tblcache, &problem, revision);
			return err;
		}
		record_refused(tblcache, &problem, parts[at].mod_revision);
		refused = parts[at];
		parts[at] = parts[--count];
		parts[count] = refused;
		if (!count)
			return err;
	}
}

/* Builds a table from new parts, or from all parts if the manifest changed. */
static int build(struct tblcache *tblcache, uint64_t revision, struct tbl **out)
{
	struct tbl_part *parts = NULL;
	size_t count = 0;
	const uint64_t applied = tblcache->tbl ? tblcache->tbl->revision : 0;
	bool more;
	int err = partset_since(tblcache->partset, applied, SIZE_MAX, &parts,
				&count, &more);

	if (!err && applied && has_manifest(parts, count)) {
		partset_free(parts, count);
		parts = NULL;
		if (tblcache->discard_parts && !tblcache->has_all_parts)
			return PST_ERR_AGAIN;
		err = partset_since(tblcache->partset, 0, SIZE_MAX, &parts,
				    &count, &more);
	}
	if (!err)
		err = apply_valid(tblcache, parts, count, revision, out);
	partset_free(parts, count);
	return err;
}

const struct clk *tblcache_wall_clock(void)
{
	static const struct clk wall = {.now = read_wall};

	return &wall;
}

int tblcache_init(struct tblcache *tblcache, const struct settings *set,
		  const struct clk *clk, const struct clk *wall)
{
	memset(tblcache, 0, sizeof(*tblcache));
	tblcache->clk = clk;
	tblcache->wall = wall;
	rev_init(&tblcache->rev, CLK_MS(set->control.freshness_timeout_ms),
		 CLK_MS(set->table.pause_ms));
	return partset_create(&tblcache->partset);
}

void tblcache_done(struct tblcache *tblcache)
{
	tbl_put(tblcache->tbl);
	partset_destroy(tblcache->partset);
}

int tblcache_store_parts(struct tblcache *tblcache,
			 const struct tbl_part *parts, size_t count)
{
	size_t taken;

	return partset_take(tblcache->partset, parts, count, &taken);
}

int tblcache_apply(struct tblcache *tblcache, uint64_t revision,
		   const char *source, bool *changed)
{
	struct tbl *tbl = NULL;
	int err;

	*changed = false;
	if (revision < tblcache->rev.revision) {
		evt_log(TABLE_OLDER, "held=%llu offered=%llu source=%s",
			(unsigned long long)tblcache->rev.revision,
			(unsigned long long)revision, source);
		return PST_ERR_STALE;
	}
	if (tblcache->tbl && revision == tblcache->tbl->revision)
		return 0;
	err = build(tblcache, revision, &tbl);
	if (err == PST_ERR_NOMEM || err == PST_ERR_AGAIN ||
	    (err && !tblcache->tbl))
		return err;
	rev_set_held(&tblcache->rev, revision);
	if (tblcache->discard_parts)
		partset_clear(tblcache->partset);
	tblcache->has_all_parts = false;
	if (err)
		return err;
	tbl_put(tblcache->tbl);
	tblcache->tbl = tbl;
	*changed = true;
	evt_log(TABLE_APPLIED, "revision=%llu source=%s",
		(unsigned long long)revision, source);
	return 0;
}

uint64_t tblcache_in_force(const struct tblcache *tblcache)
{
	uint64_t revision = tblcache->tbl ? tblcache->tbl->revision : 0;

	for (size_t i = 0; i < tblcache->refused_count; i++) {
		if (tblcache->refused[i].mod_revision <= revision)
			revision = tblcache->refused[i].mod_revision - 1;
	}
	return revision;
}

bool tblcache_tick(struct tblcache *tblcache, bool was_fresh)
{
	const apr_time_t now = clk_now(tblcache->clk);
	const apr_interval_time_t gap =
		rev_tick(&tblcache->rev, now, clk_now(tblcache->wall));
	const bool fresh =
		rev_is_fresh(&tblcache->rev, now, clk_now(tblcache->wall));
	const apr_interval_time_t age =
		rev_confirmation_age(&tblcache->rev, now);

	if (gap)
		evt_log(PAUSE_DETECTED, "gap_ms=%lld",
			(long long)gap / US_PER_MS);
	if (was_fresh && !fresh)
		evt_log(TABLE_STALE, "revision=%llu age_ms=%lld",
			(unsigned long long)tblcache->rev.revision,
			age == REV_NEVER ? -1 : (long long)age / US_PER_MS);
	else if (!was_fresh && fresh)
		evt_log(TABLE_FRESH, "revision=%llu",
			(unsigned long long)tblcache->rev.revision);
	return fresh;
}
