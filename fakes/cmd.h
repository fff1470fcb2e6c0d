/* Command-line options shared by the fake processes, on argtable2. */
#ifndef FAKES_CMD_H
#define FAKES_CMD_H

#include <argtable2.h>

/* Options of every fake process; the last entries of its argtable. */
struct cmdline {
	struct arg_str *level;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* Number of entries that cmdline_fill() writes. */
#define CMDLINE_ENTRIES 4

void cmdline_fill(struct cmdline *cmd, void **entries);

/*
 * Parses the arguments; prints help, version or errors, or starts the log.
 * Returns -1 when the program is to continue, or its exit status. table ends
 * with the entries that cmdline_fill() wrote.
 */
int cmdline_parse(struct cmdline *cmd, const char *program, const char *summary,
		  int argc, char **argv, void **table);

#endif
