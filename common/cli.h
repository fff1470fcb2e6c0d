/*
 * Command line that every daemon shares: --settings, --check, --log-level,
 * --help and --version.
 */
#ifndef COMMON_CLI_H
#define COMMON_CLI_H

#include "common/settings.h"

/* Exit statuses of every binary; see docs/man/pst-exit.7. */
enum cli_exit {
	CLI_EXIT_OK = 0,
	/* The request was understood but refused or failed. */
	CLI_EXIT_FAILED = 1,
	CLI_EXIT_USAGE = 64,
	CLI_EXIT_UNAVAILABLE = 69,
	CLI_EXIT_INTERNAL = 70,
	CLI_EXIT_SETTINGS = 78,
};

/* What the command line asked for. */
enum cli_action {
	CLI_RUN,
	/* Nothing is left to do: exit with *status. */
	CLI_DONE,
};

/*
 * Parses the arguments, loads the settings and starts the log. On CLI_RUN
 * *set is owned by the caller. Prints problems to standard error.
 */
enum cli_action cli_start(const char *program, const char *summary, int argc,
			  char **argv, struct settings **set, int *status);

/* The file that cli_start() loaded, to load it again. */
const char *cli_settings_file(void);

#endif
