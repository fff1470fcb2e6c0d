/*
 * Compares the broker with the baseline policies in fakes/slot_model: latency
 * and refusals by rank and useful work, at a steady load of 80%, in floods of
 * bulk and of urgent requests, with an upstream that reports a false load and
 * with a slow one.
 *
 * Prints a table, or CSV with --csv. Seeds are in the output.
 */
#include <stdio.h>
#include <string.h>

#include "common/clk.h"
#include "fakes/slot_model.h"

#define SEED 20261204

/* Ten times the capacity. */
#define FLOOD_LOAD 10.0

struct deployment {
	const char *name;
	void (*fill)(struct slot_model_cfg *cfg);
};

struct scenario {
	const char *name;
	void (*change)(struct slot_model_cfg *cfg);
};

static void set_loads(struct slot_model_cfg *cfg, double urgent, double normal,
		      double bulk)
{
	cfg->rank[RANK_URGENT].load = urgent;
	cfg->rank[RANK_NORMAL].load = normal;
	cfg->rank[RANK_BULK].load = bulk;
}

static void steady(struct slot_model_cfg *cfg)
{
	(void)cfg;
}

static void unflooded(struct slot_model_cfg *cfg)
{
	set_loads(cfg, 0.2, 0.2, 0.1);
}

static void bulk_flood(struct slot_model_cfg *cfg)
{
	set_loads(cfg, 0.2, 0.2, FLOOD_LOAD);
}

static void long_bulk_flood(struct slot_model_cfg *cfg)
{
	bulk_flood(cfg);
	cfg->rank[RANK_BULK].service = CLK_SEC(2);
	cfg->rank[RANK_BULK].deadline = CLK_SEC(30);
}

static void urgent_flood(struct slot_model_cfg *cfg)
{
	set_loads(cfg, FLOOD_LOAD, 0.35, 0.25);
}

/* One domain of each region has one entry VM fewer. */
static void uneven_bulk_flood(struct slot_model_cfg *cfg)
{
	bulk_flood(cfg);
	cfg->entries_lost = 1;
}

static void uneven_urgent_flood(struct slot_model_cfg *cfg)
{
	urgent_flood(cfg);
	cfg->entries_lost = 1;
}

/* Half of the work crosses failure domains. */
static void cross_bulk_flood(struct slot_model_cfg *cfg)
{
	bulk_flood(cfg);
	cfg->cross_domain = true;
}

static void cross_urgent_flood(struct slot_model_cfg *cfg)
{
	urgent_flood(cfg);
	cfg->cross_domain = true;
}

static void false_load(struct slot_model_cfg *cfg)
{
	cfg->zero_load_upstream = 7;
}

static void slow(struct slot_model_cfg *cfg)
{
	cfg->slow = 7;
	cfg->slow_factor = 10;
	cfg->slow_time = CLK_SEC(1);
	cfg->slow_period = CLK_SEC(1);
}

static void slow_at_times(struct slot_model_cfg *cfg)
{
	slow(cfg);
	cfg->slow_period = CLK_SEC(5);
}

/* Half of the work crosses regions: slots stay taken while messages travel. */
static void cross_region(struct slot_model_cfg *cfg)
{
	cfg->hop_far = cfg->region_hop;
	cfg->cross_domain = true;
	set_loads(cfg, 0.08, 0.08, 0.08);
}

static const struct deployment deployments[] = {
	{"fund", slot_model_fund},
	{"guild", slot_model_guild},
};

static const struct scenario scenarios[] = {
	{"steady_80", steady},
	{"unflooded", unflooded},
	{"bulk_flood", bulk_flood},
	{"long_bulk_flood", long_bulk_flood},
	{"urgent_flood", urgent_flood},
	{"uneven_bulk", uneven_bulk_flood},
	{"uneven_urgent", uneven_urgent_flood},
	{"cross_bulk", cross_bulk_flood},
	{"cross_urgent", cross_urgent_flood},
	{"liar", false_load},
	{"slow", slow},
	{"slow_at_times", slow_at_times},
	{"cross_region", cross_region},
};

/* The broker runs twice: unchanged, and without regard to slow upstreams. */
struct variant {
	const char *name;
	enum pick_policy policy;
	bool ignore_time_ratio;
};

static const struct variant variants[] = {
	{"broker", PICK_BROKER, false},
	{"broker_no_pace", PICK_BROKER, true},
	{"random", PICK_RANDOM, false},
	{"least_reported", PICK_LEAST_REPORTED, false},
	{"two_choices", PICK_TWO_CHOICES, false},
	{"static_split", PICK_STATIC_SPLIT, false},
};

static void print_rank(const struct slot_model_results *r, int rank, bool csv)
{
	const struct slot_model_result *k = &r->rank[rank];
	const double offered = k->offered ? (double)k->offered : 1;

	printf(csv ? ",%.1f,%.1f,%.1f,%.2f,%.2f,%.3f"
		   : " | %6.1f %7.1f %7.1f %6.2f %6.2f %5.3f",
	       (double)k->p50 / 1000, (double)k->p99 / 1000,
	       (double)k->p999 / 1000, 100 * (double)k->refused / offered,
	       100 * (double)k->late / offered, k->useful / r->capacity);
}

static void print_row(const char *deployment, const char *scenario,
		      const char *variant, const struct slot_model_results *r,
		      bool csv)
{
	printf(csv ? "%s,%s,%s,%d" : "%-5s %-15s %-14s %d", deployment,
	       scenario, variant, SEED);
	for (int k = 0; k < RANK_COUNT; k++)
		print_rank(r, k, csv);
	printf(csv ? ",%.3f,%llu\n" : " | %5.3f %6llu\n", slot_model_useful(r),
	       (unsigned long long)r->sheds);
}

static void print_header(bool csv)
{
	static const char *const ranks[] = {"urgent", "normal", "bulk"};

	if (!csv) {
		printf("by rank: p50 p99 p99.9 in ms, refused %%, late %%, "
		       "useful work over capacity\n"
		       "deployment scenario policy seed | urgent | normal | "
		       "bulk | useful work, sheds\n");
		return;
	}
	printf("deployment,scenario,policy,seed");
	for (size_t i = 0; i < 3; i++)
		printf(",%s_p50_ms,%s_p99_ms,%s_p999_ms,%s_refused_pct,"
		       "%s_late_pct,%s_useful",
		       ranks[i], ranks[i], ranks[i], ranks[i], ranks[i],
		       ranks[i]);
	printf(",useful,sheds\n");
}

static int run_scenario(const struct deployment *d, const struct scenario *s,
			bool csv)
{
	for (size_t v = 0; v < sizeof(variants) / sizeof(*variants); v++) {
		struct slot_model_results results;
		struct slot_model_cfg cfg;
		int err;

		d->fill(&cfg);
		s->change(&cfg);
		cfg.policy = variants[v].policy;
		cfg.ignore_time_ratio = variants[v].ignore_time_ratio;
		cfg.seed = SEED;
		err = slot_model_run(&cfg, &results);
		if (err)
			return err;
		print_row(d->name, s->name, variants[v].name, &results, csv);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const bool csv = argc > 1 && !strcmp(argv[1], "--csv");
	int err = 0;

	print_header(csv);
	for (size_t d = 0; d < 2 && !err; d++) {
		for (size_t s = 0;
		     s < sizeof(scenarios) / sizeof(*scenarios) && !err; s++)
			err = run_scenario(&deployments[d], &scenarios[s], csv);
	}
	return err ? 1 : 0;
}
