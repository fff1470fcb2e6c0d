/*
 * Parses the log lines that evt.h writes: a time stamp, level, module, event
 * number and name, and fields. A log collector may have put words before the
 * time stamp; the last of them names the VM. Has no side effects.
 */
#ifndef COMMON_LOGLINE_H
#define COMMON_LOGLINE_H

#include <stdbool.h>

#include "common/str.h"

/* A parsed line; its strings point into the line. */
struct logline {
	/* Name of the VM; empty when the line has none. */
	struct str vm;
	struct str stamp;
	unsigned event;
	struct str name;
	/* Everything from the stamp on. */
	struct str text;
};

/* Returns whether the line is a log event. */
bool logline_parse(struct str line, struct logline *out);

/* Returns the value of a field, or an empty string. */
struct str logline_field(const struct logline *line, struct str key);

#endif
