#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent/quota_split.h"
#include "policy/domsplit_goal.h"
#include "tests/fix_limits.h"
#include "tests/fix_run.h"

#define DOMAINS	 6
#define REGIONS	 3
#define SEEDS	 200
#define ROUNDING 1e-9

/* Part of the traffic that is split by weight in the region. */
#define BY_WEIGHT_PART 1e-3

#define PICKS	       1000
#define OWN_PICKS_MIN  995

struct fleet {
	struct domsplit_domain places[DOMAINS];
	/* Part of the requests that arrives in each domain and region. */
	double demand[DOMAINS];
	double by_region[REGIONS];
	double weights;
};

/* Returns false when the fleet has no weight or no demand. */
static bool draw_fleet(struct fleet *f, unsigned seed)
{
	double sum = 0;

	*f = (struct fleet){0};
	srandom(seed);
	for (size_t i = 0; i < DOMAINS; i++) {
		f->places[i].region = (uint32_t)i / 2;
		f->places[i].weight = (double)(random() % 4);
		f->weights += f->places[i].weight;
		f->demand[i] = (double)(random() % 5);
		sum += f->demand[i];
	}
	if (f->weights <= 0 || sum <= 0)
		return false;
	for (size_t i = 0; i < DOMAINS; i++) {
		f->demand[i] /= sum;
		f->by_region[i / 2] += f->demand[i];
	}
	return true;
}

static void goal_of(const struct fleet *f, size_t own, double *out)
{
	ck_assert_int_eq(domsplit_goal(f->places, DOMAINS, f->by_region,
				       REGIONS, own / 2, out),
			 0);
	ck_assert_int_eq(
		domsplit_goal_domain(f->places, DOMAINS, f->demand, own, out),
		0);
}

/* Largest part of the fleet's traffic that can stay in a domain. */
static double most_local(const struct fleet *f, const double *regional,
			 size_t own)
{
	const size_t first = own / 2 * 2;
	const double region_part = regional[first] + regional[first + 1];
	const double offered = f->by_region[own / 2] * regional[own];
	const double arrives = f->demand[own] * region_part;
	const double best = offered < arrives ? offered : arrives;

	return BY_WEIGHT_PART * f->demand[own] * regional[own] +
	       (1 - BY_WEIGHT_PART) * best;
}

START_TEST(domain_goals_add_up_to_the_weights)
{
	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		double sum[DOMAINS] = {0};
		struct fleet f;

		if (!draw_fleet(&f, seed))
			continue;
		for (size_t own = 0; own < DOMAINS; own++) {
			double regional[DOMAINS];
			double out[DOMAINS];

			domsplit_goal(f.places, DOMAINS, f.by_region, REGIONS,
				      own / 2, regional);
			goal_of(&f, own, out);
			for (size_t i = 0; i < DOMAINS; i++)
				sum[i] += f.demand[own] * out[i];
			ck_assert_msg(fabs(f.demand[own] * out[own] -
					   most_local(&f, regional, own)) <
					      ROUNDING,
				      "seed %u domain %zu", seed, own);
		}
		for (size_t i = 0; i < DOMAINS; i++)
			ck_assert_msg(
				fabs(sum[i] - f.places[i].weight / f.weights) <
					ROUNDING,
				"seed %u domain %zu", seed, i);
	}
}
END_TEST

START_TEST(an_unknown_domain_is_split_by_weight)
{
	const struct domsplit_domain places[2] = {{.region = 0, .weight = 3},
						  {.region = 0, .weight = 1}};
	const double demand[2] = {0.5, 0.5};
	const double none[2] = {0, 0};
	double goal[2] = {0.75, 0.25};

	ck_assert_int_eq(domsplit_goal_domain(places, 2, demand, 2, goal), 0);
	ck_assert(fabs(goal[0] - 0.75) < ROUNDING);
	ck_assert_int_eq(domsplit_goal_domain(places, 2, none, 1, goal), 0);
	ck_assert(fabs(goal[1] - 0.25) < ROUNDING);
}
END_TEST

START_TEST(a_domain_without_weight_keeps_nothing)
{
	const struct domsplit_domain places[3] = {{.region = 0, .weight = 0},
						  {.region = 0, .weight = 2},
						  {.region = 1, .weight = 2}};
	const double demand[3] = {0.25, 0.25, 0.5};
	double goal[3] = {0, 0.9, 0.1};

	ck_assert_int_eq(domsplit_goal_domain(places, 3, demand, 0, goal), 0);
	ck_assert(goal[0] <= 0);
	ck_assert(fabs(goal[1] - 0.9) < ROUNDING);
	ck_assert(fabs(goal[2] - 0.1) < ROUNDING);
}
END_TEST

/* An upstream and an entry VM in each domain, all weights equal. */
START_TEST(an_entry_picks_its_own_domain_while_that_takes_work)
{
	struct tbl *tbl = fix_tbl(REGIONS, 2, 100, 0, 100);
	struct vmlist *vmlist = fix_vml(REGIONS, 2, 2);
	const struct tbl_row *row = tbl_row(tbl, 0, RANK_URGENT);
	bool skip[DOMAINS] = {false};
	struct splitter *splitter;
	int own_picks = 0;
	int other;
	int own;

	for (size_t i = 1; i < vmlist->count; i += 2) {
		vmlist->vms[i].kind = VM_UPSTREAM;
		strbuf_set(&vmlist->vms[i].service, STR_LIT("status"));
	}
	ck_assert_int_eq(
		splitter_create(&splitter, strbuf_str(&vmlist->vms[2].region)),
		0);
	ck_assert_int_eq(splitter_set_domain(
				 splitter, strbuf_str(&vmlist->vms[2].domain)),
			 0);
	ck_assert_int_eq(splitter_set_view(splitter, 0, tbl, vmlist), 0);
	own = tbl_domain_find(tbl, strbuf_str(&vmlist->vms[2].domain));
	for (uint64_t i = 0; i < PICKS; i++)
		own_picks += splitter_pick(splitter, 0, tbl, row, i << 54,
					   NULL) == own;
	ck_assert_int_ge(own_picks, OWN_PICKS_MIN);
	/* A request that the own domain cannot take stays in the region. */
	skip[own] = true;
	other = splitter_pick(splitter, 0, tbl, row, 1, skip);
	ck_assert_int_ne(other, -1);
	ck_assert_int_ne(other, own);
	ck_assert_uint_eq(tbl->domains[other].region, tbl->domains[own].region);
	splitter_destroy(splitter);
	tbl_put(tbl);
	vmlist_put(vmlist);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shf_goal");

	tcase_add_test(tc, domain_goals_add_up_to_the_weights);
	tcase_add_test(tc, an_unknown_domain_is_split_by_weight);
	tcase_add_test(tc, a_domain_without_weight_keeps_nothing);
	tcase_add_test(tc, an_entry_picks_its_own_domain_while_that_takes_work);
	return fix_run("shf_goal", tc);
}
