/* Command line that the stand-ins share, on argtable2. */
#ifndef FAKES_CMD_H
#define FAKES_CMD_H

#include <argtable2.h>

/* Options of every stand-in; the last entries of its argtable. */
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
 * Parses, prints help, version or problems, and starts the log. Returns -1 to
 * go on, or the exit status. table has count entries, its own included.
 */
int fcm_parse(struct fcm *cmd, const char *program, const char *summary,
	      int argc, char **argv, void **table);

#endif
