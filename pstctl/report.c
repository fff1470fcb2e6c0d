#include "pstctl/report.h"

#include <stdlib.h>
#include <string.h>

static const char *const severities[] = {
	[FINDING_CHANGE] = "change",
	[FINDING_WARNING] = "warning",
	[FINDING_ERROR] = "error",
};

void report_init(struct report *report, FILE *out, bool json)
{
	*report = (struct report){.out = out};
	if (json) {
		report->json = json_array();
		report->no_memory = !report->json;
	}
}

static void print_text(FILE *out, const char *text)
{
	for (; *text; text++)
		putc_unlocked((unsigned char)*text < ' ' || *text == 0x7f
				      ? '?'
				      : *text,
			      out);
}

/*
 * A text for JSON, which can't hold bytes that aren't UTF-8: names of files,
 * and texts that were cut within a character.
 */
static json_t *text_json(const char *text)
{
	json_t *value = json_string(text);
	char *copy = value ? NULL : strdup(text);

	for (char *at = copy; at && *at; at++) {
		if ((unsigned char)*at > 0x7f)
			*at = '?';
	}
	if (copy)
		value = json_string(copy);
	free(copy);
	return value;
}

/* The line of a place; 0 if it isn't known. */
static size_t find_line(struct report *report, struct report_file *file,
			const struct plt_place *place)
{
	if (!file->text.len)
		return 0;
	if (!file->lines && plt_lines_new(&file->lines, file->text)) {
		report->no_memory = true;
		return 0;
	}
	return plt_lines_find(file->lines, place);
}

void report_add(struct report *report, struct report_file *file,
		enum finding_severity severity, size_t line,
		const struct plt_place *place, const char *code,
		const char *text)
{
	struct buf path = {0};

	report->counts[severity]++;
	if (!line)
		line = find_line(report, file, place);
	if (plt_place_path(&path, place) || buf_add(&path, STR_LIT("\0"))) {
		report->no_memory = true;
		buf_free(&path);
		return;
	}
	if (report->json) {
		if (json_array_append_new(
			    report->json,
			    json_pack("{s:s, s:s, s:o, s:I, s:s, s:o}",
				      "severity", severities[severity], "code",
				      code, "file", text_json(file->path),
				      "line", (json_int_t)line, "path",
				      path.ptr, "message", text_json(text))))
			report->no_memory = true;
		buf_free(&path);
		return;
	}
	fprintf(report->out, "%s:", file->path);
	if (line)
		fprintf(report->out, "%zu:", line);
	fprintf(report->out, " %s: ", severities[severity]);
	if (path.len > 1) {
		print_text(report->out, path.ptr);
		fputs(": ", report->out);
	}
	print_text(report->out, text);
	fprintf(report->out, " [%s]\n", code);
	buf_free(&path);
}

void report_end(struct report *report, const char *path)
{
	const size_t errors = report->counts[FINDING_ERROR];
	const size_t warnings = report->counts[FINDING_WARNING];
	const size_t changes = report->counts[FINDING_CHANGE];
	json_t *root;

	if (!report->json) {
		fprintf(report->out,
			"%s: %zu errors, %zu warnings, %zu changes\n", path,
			errors, warnings, changes);
		return;
	}
	root = json_pack("{s:o, s:I, s:I, s:I, s:o}", "file", text_json(path),
			 "errors", (json_int_t)errors, "warnings",
			 (json_int_t)warnings, "changes", (json_int_t)changes,
			 "findings", report->json);
	report->json = NULL;
	if (!root || json_dumpf(root, report->out, JSON_INDENT(1)))
		report->no_memory = true;
	fputc('\n', report->out);
	json_decref(root);
}
