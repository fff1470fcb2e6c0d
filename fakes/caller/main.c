/* fake-caller: sends all kinds of work and checks every answer. */
#include <stdio.h>
#include <string.h>

#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "fakes/caller/load.h"
#include "fakes/caller/report.h"
#include "fakes/cmd.h"

#define LOG_MODULE	"fake-caller"

#define MAX_WORKS	32
#define MAX_LOOKUPS	64
#define DEFAULT_SECONDS 5
#define DEFAULT_BLOCKS	12
#define DRAIN_S		45

struct options {
	struct arg_str *lookup;
	struct arg_str *direct;
	struct arg_str *work;
	struct arg_int *seconds;
	struct arg_int *warmup;
	struct arg_int *seed;
	struct arg_int *blocks;
	struct arg_lit *own_keys;
	struct arg_file *csv;
	struct arg_file *trace;
	struct arg_file *journals;
};

#define OPTION_ENTRIES 11

static void fill_options(struct options *opt, void **table)
{
	opt->lookup = arg_strn(NULL, "lookup", "URL", 0, MAX_LOOKUPS,
			       "base URL of a look-up");
	opt->direct = arg_str0(NULL, "direct", "URL", "an upstream, no entry");
	opt->work = arg_strn(NULL, "work", "TEXT", 1, MAX_WORKS,
			     "service=S,kind=get|book|upload|blob,rank=R,"
			     "rate=N,closed=N,ms=N,bytes=N,deadline=MS,"
			     "tries=N,from=MS,to=MS,name=S");
	opt->seconds = arg_int0(NULL, "seconds", "N", "time of arrivals");
	opt->warmup = arg_int0(NULL, "warmup-ms", "N", "not in latencies");
	opt->seed = arg_int0(NULL, "seed", "N", "seed of arrivals");
	opt->blocks = arg_int0(NULL, "blocks", "N", "blocks of callers");
	opt->own_keys = arg_lit0(NULL, "own-keys", "own keys, no tickets");
	opt->csv = arg_file0(NULL, "csv", "FILE", "results by work");
	opt->trace = arg_file0(NULL, "trace", "FILE", "a line a job");
	opt->journals = arg_file0(NULL, "journals", "DIR",
				  "compare keys with *.journal there");
	table[0] = opt->lookup;
	table[1] = opt->direct;
	table[2] = opt->work;
	table[3] = opt->seconds;
	table[4] = opt->warmup;
	table[5] = opt->seed;
	table[6] = opt->blocks;
	table[7] = opt->own_keys;
	table[8] = opt->csv;
	table[9] = opt->trace;
	table[10] = opt->journals;
}

static int number(const struct arg_int *arg, int fallback)
{
	return arg->count ? arg->ival[0] : fallback;
}

static int parse_works(const struct options *opt, struct workload *works)
{
	for (int i = 0; i < opt->work->count; i++) {
		if (!workload_parse(opt->work->sval[i], &works[i]))
			continue;
		fprintf(stderr, "fake-caller: --work %s: %s\n",
			opt->work->sval[i], err_text(PST_ERR_FAKE_WORK));
		return PST_ERR_FAKE_WORK;
	}
	return 0;
}

static int make_env(const struct options *opt, struct discovery_config *lookups,
		    struct job_env *env)
{
	int err;

	memset(env, 0, sizeof(*env));
	lookups->urls = opt->lookup->sval;
	lookups->url_count = (size_t)opt->lookup->count;
	lookups->direct = opt->direct->count ? opt->direct->sval[0] : NULL;
	env->seed = (uint64_t)number(opt->seed, 1);
	env->blocks = (uint32_t)number(opt->blocks, DEFAULT_BLOCKS);
	env->direct = opt->direct->count > 0;
	env->own_keys = opt->own_keys->count > 0;
	env->reasons = json_object();
	if (opt->trace->count)
		env->trace = fopen(opt->trace->filename[0], "we");
	err = evloop_create(&env->loop, clk_system());
	if (!err)
		err = httpcall_create(&env->httpcall, env->loop);
	if (!err)
		err = discovery_create(&env->discovery, env->loop,
				       env->httpcall, lookups);
	if (!err)
		err = keyrec_create(&env->keys);
	if (err)
		return err;
	env->started = evloop_now(env->loop);
	env->measure_from = env->started + CLK_MS(number(opt->warmup, 0));
	return 0;
}

static int report(const struct options *opt, struct job_env *env,
		  struct rpt *rpt)
{
	struct keyrec_result keys;
	int err = 0;

	if (opt->journals->count) {
		err = keyrec_check(env->keys, opt->journals->filename[0],
				   &keys);
		rpt->keys = &keys;
	}
	rpt->seed = env->seed;
	rpt->reasons = env->reasons;
	rpt->stale_lookups = discovery_stale_uses(env->discovery);
	rpt->seconds = (double)(evloop_now(env->loop) - env->started) /
		       (double)APR_USEC_PER_SEC;
	rpt_print(rpt);
	if (!err && opt->csv->count)
		err = rpt_write_csv(rpt, opt->csv->filename[0]);
	if (err)
		fprintf(stderr, "fake-caller: %s\n", err_text(err));
	err = !err && rpt_clean(rpt) ? CLI_EXIT_OK : CLI_EXIT_FAILED;
	rpt->keys = NULL;
	return err;
}

static int run(const struct options *opt)
{
	static struct workload works[MAX_WORKS];
	const struct loadgen_config config = {
		.works = works,
		.count = (size_t)opt->work->count,
		.duration = CLK_SEC(number(opt->seconds, DEFAULT_SECONDS)),
		.drain = CLK_SEC(DRAIN_S),
	};
	struct rpt rpt = {.works = works, .count = config.count};
	struct discovery_config lookups = {0};
	struct job_env env;

	if (parse_works(opt, works))
		return CLI_EXIT_USAGE;
	if (!opt->lookup->count && !opt->direct->count) {
		fprintf(stderr, "fake-caller: --lookup or --direct\n");
		return CLI_EXIT_USAGE;
	}
	if (make_env(opt, &lookups, &env))
		return CLI_EXIT_INTERNAL;
	rpt.unfinished = loadgen_run(&env, &config);
	return report(opt, &env, &rpt);
}

int main(int argc, char **argv)
{
	struct options opt;
	struct cmdline cmd;
	void *table[OPTION_ENTRIES + CMDLINE_ENTRIES];
	int status;

	fill_options(&opt, table);
	cmdline_fill(&cmd, table + OPTION_ENTRIES);
	status = cmdline_parse(
		&cmd, "fake-caller",
		"Sends work through entry VMs and checks answers.", argc, argv,
		table);
	return status >= 0 ? status : run(&opt);
}
