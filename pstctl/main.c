/* pstctl: command-line tool for operators. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "common/err.h"
#include "common/evt.h"
#include "pstctl/cmd.h"
#include "pstctl/configcheck.h"

#define MAX_WORDS 6

struct options {
	struct arg_file *settings;
	struct arg_str *service;
	struct arg_str *by;
	struct arg_lit *wait;
	struct arg_file *against;
	struct arg_file *upstreams;
	struct arg_lit *strict;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *words;
	struct arg_end *end;
};

static int table_show(struct cmd *cmd, const char **args)
{
	(void)args;
	return cmd_table_show(cmd);
}

static int table_set(struct cmd *cmd, const char **args)
{
	return cmd_table_set(cmd, args[0], args[1], args[2], args[3]);
}

static int table_load(struct cmd *cmd, const char **args)
{
	return cmd_table_load(cmd, args[0]);
}

static int table_check(struct cmd *cmd, const char **args)
{
	return cmd_table_check(cmd, args[0]);
}

static int history(struct cmd *cmd, const char **args)
{
	(void)args;
	return cmd_history(cmd);
}

static int status(struct cmd *cmd, const char **args)
{
	(void)args;
	return cmd_status(cmd);
}

static int explain(struct cmd *cmd, const char **args)
{
	return cmd_explain(cmd, args[0]);
}

static int explain_logs(struct cmd *cmd, const char **args)
{
	(void)cmd;
	return cmd_explain_logs(args[0], args[1]);
}

static int explain_upstream(struct cmd *cmd, const char **args)
{
	(void)cmd;
	return cmd_explain_upstream(args[0], args[1]);
}

static int drain(struct cmd *cmd, const char **args)
{
	return cmd_drain(cmd, args[0], true);
}

static int undrain(struct cmd *cmd, const char **args)
{
	return cmd_drain(cmd, args[0], false);
}

static int config_check(struct cmd *cmd, const char **args)
{
	const struct configcheck options = {
		.path = args[0],
		.against = cmd->against,
		.upstreams = cmd->upstreams,
		.json = cmd->json,
		.strict = cmd->strict,
	};

	return configcheck_run(&options, stdout);
}

static const struct command {
	const char *words[2];
	/* Number of arguments after the words. */
	int args;
	/* Whether it works without a settings file and the store. */
	bool offline;
	int (*run)(struct cmd *cmd, const char **args);
	const char *help;
} commands[] = {
	{{"table", "show"}, 0, false, table_show, "print the table"},
	{{"table", "set"},
	 4,
	 false,
	 table_set,
	 "SERVICE RANK CELL VALUE: edit a cell"},
	{{"table", "load"}, 1, false, table_load, "FILE: write a whole table"},
	{{"table", "check"}, 1, true, table_check, "FILE: check a table"},
	{{"config", "check"},
	 1,
	 true,
	 config_check,
	 "FILE: check a manifest before it is sent"},
	{{"history"}, 0, false, history, "print the accepted edits"},
	{{"status"}, 0, false, status, "print the VMs and what each holds"},
	{{"explain"},
	 1,
	 false,
	 explain,
	 "ID: print what happened to a request"},
	{{"explain", "logs"},
	 2,
	 true,
	 explain_logs,
	 "ID PATH: the same from collected logs of pst-steerd"},
	{{"explain", "upstream"},
	 2,
	 true,
	 explain_upstream,
	 "ID PATH: why an upstream gets nothing, from the same logs"},
	{{"drain"}, 1, false, drain, "VM: give it no new work"},
	{{"undrain"}, 1, false, undrain, "VM: give it work again"},
};

static const struct command *find_command(const struct arg_str *words)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		const struct command *c = &commands[i];
		const int word_count = c->words[1] ? 2 : 1;

		if (words->count != word_count + c->args ||
		    strcmp(words->sval[0], c->words[0]) != 0)
			continue;
		if (word_count == 2 && strcmp(words->sval[1], c->words[1]) != 0)
			continue;
		return c;
	}
	return NULL;
}

static void print_help(void **table)
{
	printf("Usage: pstctl");
	arg_print_syntax(stdout, table, "\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		const struct command *c = &commands[i];

		printf("  %s %s  %s\n", c->words[0],
		       c->words[1] ? c->words[1] : "", c->help);
	}
	arg_print_glossary(stdout, table, "  %-25s %s\n");
}

static int run_online(const struct command *command, struct cmd *cmd,
		      const char *path, const char **args)
{
	struct settings_problem problem;
	struct settings *set = NULL;
	int err = settings_load(path, &set, &problem);
	int exit_status;

	if (err) {
		fprintf(stderr, "%s:%zu: %s: %s (%s)\n", path, problem.line,
			problem.key, problem.reason, err_name(err));
		return CLI_EXIT_SETTINGS;
	}
	cmd->set = set;
	err = kvclient_create(&cmd->kvclient, set, cmd->clk);
	if (err) {
		cmd_print_error("store", err);
		settings_free(set);
		return CLI_EXIT_INTERNAL;
	}
	exit_status = command->run(cmd, args);
	kvclient_destroy(cmd->kvclient);
	settings_free(set);
	return exit_status;
}

static int run(const struct options *opt)
{
	const struct command *command = find_command(opt->words);
	const char **words;
	struct cmd cmd = {
		.clk = clk_system(),
		.json = opt->json->count,
		.by = opt->by->count ? opt->by->sval[0] : getenv("USER"),
		.wait = opt->wait->count,
		.against =
			opt->against->count ? opt->against->filename[0] : NULL,
		.upstreams = opt->upstreams->count ? opt->upstreams->filename[0]
						   : NULL,
		.strict = opt->strict->count,
		.service = opt->service->count ? opt->service->sval[0] : NULL,
	};

	if (!command) {
		fprintf(stderr, "pstctl: no such command; see --help\n");
		return CLI_EXIT_USAGE;
	}
	if (!cmd.by)
		cmd.by = "operator";
	words = opt->words->sval + (command->words[1] ? 2 : 1);
	if (command->offline)
		return command->run(&cmd, words);
	if (!opt->settings->count) {
		fprintf(stderr, "pstctl: --settings is required\n");
		return CLI_EXIT_USAGE;
	}
	return run_online(command, &cmd, opt->settings->filename[0], words);
}

static int handle_options(const struct options *opt, void **table, int errors)
{
	if (opt->help->count) {
		print_help(table);
		return CLI_EXIT_OK;
	}
	if (opt->version->count) {
		printf("pstctl %s\n", PST_VERSION);
		return CLI_EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, opt->end, "pstctl");
		return CLI_EXIT_USAGE;
	}
	return run(opt);
}

int main(int argc, char **argv)
{
	struct options opt = {
		.settings = arg_file0("s", "settings", "FILE",
				      "settings to run with"),
		.service = arg_str0("S", "service", "SERVICE",
				    "with table show: one service"),
		.by = arg_str0("b", "by", "NAME", "who edits, for the record"),
		.wait = arg_lit0("w", "wait",
				 "wait until every live VM confirms"),
		.against = arg_file0("a", "against", "FILE",
				     "with config check: compare with this"),
		.upstreams = arg_file0("u", "upstreams", "FILE",
				       "with config check: the upstreams"),
		.strict = arg_lit0(NULL, "strict",
				   "with config check: fail on warnings"),
		.json = arg_lit0("j", "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this help and exit"),
		.version = arg_lit0("V", "version", "print the version, exit"),
		.words = arg_strn(NULL, NULL, "COMMAND", 0, MAX_WORDS,
				  "command and its words"),
		.end = arg_end(4),
	};
	void *table[] = {opt.settings, opt.service,   opt.by,	  opt.wait,
			 opt.against,  opt.upstreams, opt.strict, opt.json,
			 opt.help,     opt.version,   opt.words,  opt.end};
	const int errors = arg_parse(argc, argv, table);
	int exit_status;

	signal(SIGPIPE, SIG_IGN);
	evt_init("error");
	exit_status = handle_options(&opt, table, errors);
	evt_done();
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return exit_status;
}
