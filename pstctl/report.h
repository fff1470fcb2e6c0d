/* Output of "config check": findings as text or JSON. */
#ifndef PSTCTL_REPORT_H
#define PSTCTL_REPORT_H

#include <stdio.h>

#include <jansson.h>

#include "platform/plt_lines.h"
#include "policy/finding.h"

struct report {
	FILE *out;
	/* Array of the findings; NULL: they are printed as text. */
	json_t *json;
	/* By enum finding_severity. */
	size_t counts[FINDING_ERROR + 1];
	bool no_memory;
};

/* A file that findings are about. */
struct report_file {
	const char *path;
	/* Valid JSON, or empty if lines aren't known. */
	struct str text;
	/* Made from text when the first line is needed. */
	struct plt_lines *lines;
};

void report_init(struct report *report, FILE *out, bool json);

/*
 * Adds a finding. Line 0: that of the place, if the file's lines are known.
 * Unprintable characters of text are replaced.
 */
void report_add(struct report *report, struct report_file *file,
		enum finding_severity severity, size_t line,
		const struct plt_place *place, const char *code,
		const char *text);

/* Prints the counts, or all of the JSON, and frees it. */
void report_end(struct report *report, const char *path);

#endif
