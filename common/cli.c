#include "common/cli.h"

#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "cli"

static char settings_file[4096];

struct options {
	struct arg_file *settings;
	struct arg_file *check;
	struct arg_str *level;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void print_problem(const char *path, int err,
			  const struct settings_problem *problem)
{
	fprintf(stderr, "%s:%zu: %s: %s (%s)\n", path, problem->line,
		problem->key, problem->reason, err_name(err));
}

static int load(const char *path, struct settings **set)
{
	struct settings_problem problem;
	const int err = settings_load(path, set, &problem);

	if (err)
		print_problem(path, err, &problem);
	return err;
}

static int check_file(const char *path)
{
	struct settings *set = NULL;
	const int err = load(path, &set);

	settings_free(set);
	if (!err)
		printf("%s: ok\n", path);
	return err ? CLI_EXIT_SETTINGS : CLI_EXIT_OK;
}

static void print_help(const char *program, const char *summary, void **table)
{
	printf("Usage: %s", program);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n", summary);
	arg_print_glossary(stdout, table, "  %-25s %s\n");
}

static int prepare_run(const struct options *opt, struct settings **set)
{
	const char *level;
	int err;

	if (!opt->settings->count) {
		fprintf(stderr, "--settings is required\n");
		return CLI_EXIT_USAGE;
	}
	err = load(opt->settings->filename[0], set);
	if (err)
		return CLI_EXIT_SETTINGS;
	snprintf(settings_file, sizeof(settings_file), "%s",
		 opt->settings->filename[0]);
	level = opt->level->count ? opt->level->sval[0] : (*set)->log.level.ptr;
	if (evt_init(level)) {
		fprintf(stderr, "--log-level: error, warn, info or debug\n");
		settings_free(*set);
		*set = NULL;
		return CLI_EXIT_USAGE;
	}
	return CLI_EXIT_OK;
}

static enum cli_action handle_options(const char *program, const char *summary,
				      const struct options *opt, void **table,
				      int errors, struct settings **set,
				      int *status)
{
	*status = CLI_EXIT_OK;
	if (opt->help->count) {
		print_help(program, summary, table);
		return CLI_DONE;
	}
	if (opt->version->count) {
		printf("%s %s\n", program, PST_VERSION);
		return CLI_DONE;
	}
	if (errors) {
		arg_print_errors(stderr, opt->end, program);
		*status = CLI_EXIT_USAGE;
		return CLI_DONE;
	}
	if (opt->check->count) {
		*status = check_file(opt->check->filename[0]);
		return CLI_DONE;
	}
	*status = prepare_run(opt, set);
	return *status ? CLI_DONE : CLI_RUN;
}

enum cli_action cli_start(const char *program, const char *summary, int argc,
			  char **argv, struct settings **set, int *status)
{
	struct options opt = {
		.settings = arg_file0("s", "settings", "FILE",
				      "settings to run with"),
		.check = arg_file0("c", "check", "FILE",
				   "check a settings file and exit"),
		.level = arg_str0("l", "log-level", "LEVEL",
				  "error, warn, info or debug"),
		.help = arg_lit0("h", "help", "print this help and exit"),
		.version = arg_lit0("V", "version", "print the version, exit"),
		.end = arg_end(4),
	};
	void *table[] = {opt.settings, opt.check,   opt.level,
			 opt.help,     opt.version, opt.end};
	const int errors = arg_parse(argc, argv, table);
	const enum cli_action action = handle_options(
		program, summary, &opt, table, errors, set, status);

	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return action;
}

const char *cli_settings_file(void)
{
	return settings_file;
}
