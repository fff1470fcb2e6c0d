#include "fakes/cmd.h"

#include <stdio.h>

#include "common/cli.h"
#include "common/evt.h"

#define MAX_ERRORS 4

void cmdline_fill(struct cmdline *cmd, void **entries)
{
	cmd->level = arg_str0("l", "log-level", "LEVEL",
			      "error, warn, info or debug");
	cmd->help = arg_lit0("h", "help", "print this help and exit");
	cmd->version = arg_lit0("V", "version", "print the version, exit");
	cmd->end = arg_end(MAX_ERRORS);
	entries[0] = cmd->level;
	entries[1] = cmd->help;
	entries[2] = cmd->version;
	entries[3] = cmd->end;
}

int cmdline_parse(struct cmdline *cmd, const char *program, const char *summary,
		  int argc, char **argv, void **table)
{
	const int errors = arg_parse(argc, argv, table);
	const char *level = cmd->level->count ? cmd->level->sval[0] : "info";

	if (cmd->help->count) {
		printf("Usage: %s", program);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n", summary);
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return CLI_EXIT_OK;
	}
	if (cmd->version->count) {
		printf("%s %s\n", program, PST_VERSION);
		return CLI_EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, cmd->end, program);
		return CLI_EXIT_USAGE;
	}
	if (evt_init(level)) {
		fprintf(stderr, "--log-level: error, warn, info or debug\n");
		return CLI_EXIT_USAGE;
	}
	return -1;
}
