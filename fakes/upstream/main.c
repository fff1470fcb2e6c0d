/* fake-upstream: one upstream with slots, load reports and injected faults. */
#include <stdio.h>

#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "fakes/cmd.h"
#include "fakes/upstream/upsim.h"

#define LOG_MODULE	    "fake-upstream"

#define DEFAULT_PORT	    9000
#define DEFAULT_SLOTS	    4
#define DEFAULT_MEAN_MS	    10
#define DEFAULT_COLD_FACTOR 4

struct options {
	struct arg_str *id;
	struct arg_str *service;
	struct arg_str *address;
	struct arg_int *port;
	struct arg_int *slots;
	struct arg_int *queue;
	struct arg_int *mean;
	struct arg_int *cold;
	struct arg_int *cold_factor;
	struct arg_lit *vary;
	struct arg_int *seed;
	struct arg_file *journal;
};

#define OPTION_ENTRIES 12

static void fill_options(struct options *opt, void **table)
{
	opt->id = arg_str0(NULL, "id", "NAME", "name in the VM list");
	opt->service = arg_str0(NULL, "service", "NAME", "service");
	opt->address = arg_str0(NULL, "address", "IP", "listen on");
	opt->port = arg_int0(NULL, "port", "N", "listen on");
	opt->slots = arg_int0(NULL, "slots", "N", "requests run at once");
	opt->queue = arg_int0(NULL, "queue", "N", "requests that may wait");
	opt->mean = arg_int0(NULL, "mean-ms", "N", "running time");
	opt->cold =
		arg_int0(NULL, "cold-ms", "N", "duration of the cold start");
	opt->cold_factor =
		arg_int0(NULL, "cold-factor", "N", "how much slower at first");
	opt->vary = arg_lit0(NULL, "vary", "exponential running times");
	opt->seed = arg_int0(NULL, "seed", "N", "seed of running times");
	opt->journal =
		arg_file0(NULL, "journal", "FILE", "file of executed keys");
	table[0] = opt->id;
	table[1] = opt->service;
	table[2] = opt->address;
	table[3] = opt->port;
	table[4] = opt->slots;
	table[5] = opt->queue;
	table[6] = opt->mean;
	table[7] = opt->cold;
	table[8] = opt->cold_factor;
	table[9] = opt->vary;
	table[10] = opt->seed;
	table[11] = opt->journal;
}

static const char *text(const struct arg_str *arg, const char *fallback)
{
	return arg->count ? arg->sval[0] : fallback;
}

static uint32_t number(const struct arg_int *arg, int fallback)
{
	return (uint32_t)(arg->count ? arg->ival[0] : fallback);
}

static int start(const struct options *opt, const struct upsim_config *config,
		 struct evloop **loop)
{
	const struct str ip = str_from_c(text(opt->address, "127.0.0.1"));
	const uint16_t port = (uint16_t)number(opt->port, DEFAULT_PORT);
	struct httpsrv *server;
	struct key_journal *keys;
	struct upsim *work;
	int err = evloop_create(loop, clk_system());

	if (!err)
		err = key_journal_open(
			&keys,
			opt->journal->count ? opt->journal->filename[0] : NULL);
	if (!err)
		err = upsim_create(&work, *loop, config, keys);
	if (!err)
		err = httpsrv_start(&server, *loop, ip, port, upsim_ops(),
				    work);
	if (!err)
		evt_log(FAKE_READY,
			"program=fake-upstream address=%.*s port=%u",
			STR_ARG(ip), port);
	return err;
}

int main(int argc, char **argv)
{
	struct options opt;
	struct upsim_config config;
	struct cmdline cmd;
	struct evloop *loop;
	void *table[OPTION_ENTRIES + CMDLINE_ENTRIES];
	int status;
	int err;

	fill_options(&opt, table);
	cmdline_fill(&cmd, table + OPTION_ENTRIES);
	status = cmdline_parse(&cmd, "fake-upstream",
			       "Simulates one upstream of a service.", argc,
			       argv, table);
	if (status >= 0)
		return status;
	config = (struct upsim_config){
		.id = text(opt.id, "upstream-1"),
		.service = text(opt.service, "service"),
		.slots = number(opt.slots, DEFAULT_SLOTS),
		.queue = number(opt.queue, 0),
		.mean_ms = number(opt.mean, DEFAULT_MEAN_MS),
		.cold_ms = number(opt.cold, 0),
		.cold_factor = number(opt.cold_factor, DEFAULT_COLD_FACTOR),
		.vary = opt.vary->count > 0,
		.seed = number(opt.seed, 1),
	};
	err = start(&opt, &config, &loop);
	if (err) {
		fprintf(stderr, "fake-upstream: %s\n", err_text(err));
		return CLI_EXIT_UNAVAILABLE;
	}
	evloop_run(loop);
	return CLI_EXIT_OK;
}
