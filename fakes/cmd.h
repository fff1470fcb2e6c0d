/* Command-line options shared by the fake processes, on argtable2. */
#ifndef FAKES_CMD_H
#define FAKES_CMD_H

#include <argtable2.h>

/* Options of every fake process; the last entries of its argtable. */
struct fcm {
	struct arg_str *level;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* Number of entries that fcm_fill() writes. */
#define FCM_ENTRIES 4

void fcm_fill(struct fcm *cmd, void **entries);

/*
 * Parses the arguments; prints help, version or errors, or starts the log.
 * Returns -1 when the program is to continue, or its exit status. table ends
 * with the entries that fcm_fill() wrote.
 */
int fcm_parse(struct fcm *cmd, const char *program, const char *summary,
	      int argc, char **argv, void **table);

#endif
