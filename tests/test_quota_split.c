/* Compares idle rows with rows that are in use and stepped all the time. */
#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "agent/quota_row.h"
#include "agent/quota_split.h"
#include "common/clk.h"
#include "tests/fix_limits.h"
#include "tests/fix_run.h"

#define REGIONS 3
#define DOMAINS 6
#define TABLES	4
#define LISTS	6

/* Length of a run, its step, and the time before idle rows are first used. */
#define RUN	  CLK_SEC(120)
#define STEP	  CLK_MS(25)
#define IDLE_TIME CLK_SEC(60)

static struct tbl *tables[TABLES];
static struct vmlist *lists[LISTS];

/* The tables differ in weights and caps; the last one also in its domains. */
static void make_views(bool edits)
{
	for (size_t t = 0; t < TABLES; t++) {
		tables[t] = fix_tbl(REGIONS, t == TABLES - 1 ? 3 : 2, 100, 0,
				    1 + t);
		for (size_t i = 0; i < RANK_COUNT; i++) {
			tables[t]->rows[i].shift_cap_pct_per_s =
				random() % 4 ? 1 + random() % 20 : 0;
			for (size_t d = 0; t && d < DOMAINS; d++)
				tables[t]->rows[i].weights[d] =
					1 + (uint32_t)random() % 50;
		}
	}
	/* Some lists lack a domain, some single VMs and one an upstream. */
	for (size_t l = 0; l < LISTS; l++) {
		lists[l] = fix_vml(REGIONS, 2, 8);
		for (size_t i = 0; i < lists[l]->count; i++) {
			struct vm *vm = &lists[l]->vms[i];

			if (random() % 8 == 0 || (l > 3 && i / 8 == l % 3))
				vm->state = VM_LEAVING;
			if (i % 8)
				continue;
			vm->kind = VM_UPSTREAM;
			vm->state = edits && l == 2 && i == 8 ? VM_LEAVING
							      : VM_LIVE;
			strbuf_set(&vm->service, STR_LIT("status"));
		}
	}
}

static void put_views(void)
{
	for (size_t t = 0; t < TABLES; t++)
		tbl_put(tables[t]);
	for (size_t l = 0; l < LISTS; l++)
		vmlist_put(lists[l]);
}

static void use(struct splitter *splitter, apr_time_t now)
{
	const struct tbl *tbl = splitter_table(splitter);

	for (size_t i = 0; i < RANK_COUNT; i++)
		splitter_pick(splitter, now, tbl, &tbl->rows[i],
			      (uint64_t)random() << 33, NULL);
}

static double difference(const struct domsplit *a, const struct domsplit *b)
{
	double sum = 0;

	ck_assert_uint_eq(a->count, b->count);
	for (size_t i = 0; i < a->count; i++)
		sum += fabs(a->share[i] - b->share[i]);
	return sum / 2;
}

static void check_equal(struct splitter *used, struct splitter *idle,
			unsigned seed, apr_time_t now)
{
	for (size_t i = 0; i < RANK_COUNT; i++) {
		const struct active_split *a = split_row_activate(used, i);
		const struct active_split *b = split_row_activate(idle, i);

		ck_assert_msg(difference(&a->domsplit, &b->domsplit) < 1e-5,
			      "seed %u row %zu at %ld ms differs by %g", seed,
			      i, (long)(now / 1000),
			      difference(&a->domsplit, &b->domsplit));
		/* Being idle allows no additional redraws. */
		ck_assert(domsplit_moved(&b->domsplit, now) >=
			  domsplit_moved(&a->domsplit, now) - 1e-5);
	}
}

static void change_view(struct splitter *used, struct splitter *idle,
			apr_time_t now, bool edits)
{
	struct tbl *tbl = tables[(size_t)random() % TABLES];
	struct vmlist *vmlist = lists[(size_t)random() % LISTS];

	/* Most changes are of the list of VMs only. */
	if (!edits || random() % 4)
		tbl = used->tbl;
	ck_assert_int_eq(splitter_set_view(used, now, tbl, vmlist), 0);
	ck_assert_int_eq(splitter_set_view(idle, now, tbl, vmlist), 0);
}

static void run_both(unsigned seed, long odds, bool edits)
{
	struct splitter *used;
	struct splitter *idle;
	apr_time_t check_at = IDLE_TIME;

	srandom(seed);
	make_views(edits);
	splitter_create(&used, STR_LIT("r0"));
	splitter_create(&idle, STR_LIT("r0"));
	/* In every other run a domain within the region is preferred. */
	if (seed % 2) {
		splitter_set_domain(used, strbuf_str(&lists[0]->vms[0].domain));
		splitter_set_domain(idle, strbuf_str(&lists[0]->vms[0].domain));
	}
	splitter_set_view(used, 0, tables[0], lists[0]);
	splitter_set_view(idle, 0, tables[0], lists[0]);
	for (apr_time_t now = 0; now < RUN; now += STEP) {
		if (random() % odds == 0)
			change_view(used, idle, now, edits);
		if (random() % 400 == 0)
			now += CLK_SEC(random() % 3);
		splitter_step(used, now);
		splitter_step(idle, now);
		use(used, now);
		if (now < check_at)
			continue;
		check_equal(used, idle, seed, now);
		check_at = now + CLK_SEC(5 + random() % 30);
	}
	splitter_destroy(used);
	splitter_destroy(idle);
	put_views();
}

START_TEST(an_idle_row_is_recomputed_as_if_stepped)
{
	for (unsigned seed = 1; seed <= 60; seed++)
		run_both(seed, 400, true);
}
END_TEST

/* The view changes more often in an idle time than epochs are kept. */
START_TEST(idle_rows_survive_more_epochs_than_are_kept)
{
	for (unsigned seed = 61; seed <= 80; seed++)
		run_both(seed, 10, false);
}
END_TEST

/* The steps of one second and the first of the next. */
#define WINDOW_STEPS 41

/*
 * Callers move from one entry VM to the next, whose rows are idle by then.
 * Returns the largest part of their traffic that shifts within a window.
 */
static double moved_by_turns(struct splitter **splitter, size_t count)
{
	static double window[WINDOW_STEPS][DOMAINS];
	const struct tbl *tbl = tables[0];
	struct vmlist *vmlist = lists[0];
	double most = 0;

	for (size_t n = 0; n < 8000; n++) {
		const apr_time_t now = (apr_time_t)n * STEP;
		struct splitter *turn = splitter[n / 600 % count];
		double sum = 0;

		if (random() % 200 == 0)
			vmlist = lists[(size_t)random() % LISTS];
		if (random() % 200 == 0)
			tbl = tables[(size_t)random() % (TABLES - 1)];
		for (size_t e = 0; e < count; e++) {
			splitter_set_view(splitter[e], now, (struct tbl *)tbl,
					  vmlist);
			splitter_step(splitter[e], now);
		}
		use(turn, now);
		for (size_t d = 0; d < DOMAINS; d++) {
			const double share =
				turn->rows[0].active->domsplit.share[d];

			sum += fabs(share - window[n % WINDOW_STEPS][d]) / 2;
			window[n % WINDOW_STEPS][d] = share;
		}
		if (n >= WINDOW_STEPS && sum > most)
			most = sum;
	}
	return most;
}

START_TEST(traffic_that_moves_to_idle_rows_stays_within_the_cap)
{
	struct splitter *splitter[4];
	double most;

	srandom(3);
	make_views(true);
	for (size_t i = 0; i < TABLES; i++)
		tables[i]->rows[0].shift_cap_pct_per_s = 10;
	for (size_t e = 0; e < 4; e++)
		splitter_create(&splitter[e], STR_LIT("r0"));
	most = moved_by_turns(splitter, 4);
	ck_assert_msg(most <= 0.10 * WINDOW_STEPS / (WINDOW_STEPS - 1),
		      "moved %g", most);
	/* The changes use up most of the cap. */
	ck_assert_msg(most >= 0.09, "moved %g", most);
	for (size_t e = 0; e < 4; e++)
		splitter_destroy(splitter[e]);
	put_views();
}
END_TEST

/* Every eighth VM is an upstream; the first count VMs are leaving. */
static struct vmlist *list_without(size_t count)
{
	struct vmlist *vmlist = fix_vml(REGIONS, 2, 8);

	for (size_t i = 7; i < vmlist->count; i += 8) {
		vmlist->vms[i].kind = VM_UPSTREAM;
		strbuf_set(&vmlist->vms[i].service, STR_LIT("status"));
	}
	for (size_t i = 0; i < count; i++)
		vmlist->vms[i].state = VM_LEAVING;
	return vmlist;
}

START_TEST(only_rows_in_use_are_active)
{
	struct tbl *tbl = fix_tbl(REGIONS, 2, 100, 0, 1);
	struct vmlist *all = list_without(0);
	struct vmlist *fewer = list_without(1);
	struct splitter *splitter;
	apr_time_t now = 0;

	splitter_create(&splitter, STR_LIT("r0"));
	splitter_set_view(splitter, now, tbl, all);
	ck_assert_uint_eq(splitter->active_count, 0);
	splitter_pick(splitter, now, tbl, &tbl->rows[1], 1, NULL);
	splitter_set_view(splitter, now, tbl, fewer);
	ck_assert_uint_eq(splitter->active_count, 1);
	for (; now < CLK_SEC(30); now += STEP)
		splitter_step(splitter, now);
	ck_assert_uint_eq(splitter->active_count, 0);
	splitter_destroy(splitter);
	vmlist_put(all);
	vmlist_put(fewer);
	tbl_put(tbl);
}
END_TEST

START_TEST(being_idle_allows_no_more_redraws)
{
	const bool skip[DOMAINS] = {true};
	struct tbl *tbl = fix_tbl(REGIONS, 2, 100, 0, 1);
	struct vmlist *all = list_without(0);
	apr_time_t now = 0;
	struct splitter *splitter;

	splitter_create(&splitter, STR_LIT("r0"));
	splitter_set_view(splitter, now, tbl, all);
	ck_assert_int_gt(
		splitter_pick(splitter, now, tbl, &tbl->rows[0], 0, skip), 0);
	ck_assert_int_lt(
		splitter_pick(splitter, now, tbl, &tbl->rows[0], 0, skip), 0);
	for (; now < CLK_SEC(30); now += STEP)
		splitter_step(splitter, now);
	ck_assert_uint_eq(splitter->active_count, 0);
	ck_assert_int_lt(
		splitter_pick(splitter, now, tbl, &tbl->rows[0], 0, skip), 0);
	splitter_destroy(splitter);
	vmlist_put(all);
	tbl_put(tbl);
}
END_TEST

/* A new entry VM may need rows that its peer doesn't use. */
START_TEST(moving_idle_rows_are_listed_for_new_entry_vms)
{
	struct tbl *tbl = fix_tbl(REGIONS, 2, 100, 0, 1);
	struct vmlist *all = list_without(0);
	struct vmlist *fewer = list_without(8);
	struct splitter_row_view rows[RANK_COUNT];
	struct splitter *splitter;

	splitter_create(&splitter, STR_LIT("r0"));
	splitter_set_view(splitter, 0, tbl, all);
	ck_assert_uint_eq(splitter_moving(splitter, rows, RANK_COUNT), 0);
	splitter_set_view(splitter, 0, tbl, fewer);
	splitter_step(splitter, CLK_MS(25));
	ck_assert_uint_eq(splitter_moving(splitter, rows, RANK_COUNT),
			  RANK_COUNT);
	ck_assert(rows[0].share[0] > 0.1);
	for (apr_time_t now = STEP; now < CLK_SEC(30); now += STEP)
		splitter_step(splitter, now);
	ck_assert_uint_eq(splitter_moving(splitter, rows, RANK_COUNT), 0);
	ck_assert_uint_eq(splitter->active_count, 0);
	splitter_destroy(splitter);
	vmlist_put(all);
	vmlist_put(fewer);
	tbl_put(tbl);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("quota_split");

	tcase_add_test(tc, an_idle_row_is_recomputed_as_if_stepped);
	tcase_add_test(tc, idle_rows_survive_more_epochs_than_are_kept);
	tcase_add_test(tc,
		       traffic_that_moves_to_idle_rows_stays_within_the_cap);
	tcase_add_test(tc, only_rows_in_use_are_active);
	tcase_add_test(tc, being_idle_allows_no_more_redraws);
	tcase_add_test(tc, moving_idle_rows_are_listed_for_new_entry_vms);
	return fix_run("quota_split", tc);
}
