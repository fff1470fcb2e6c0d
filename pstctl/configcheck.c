#include "pstctl/configcheck.h"

#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_pools.h>

#include "common/cli.h"
#include "common/err.h"
#include "platform/plt_codec.h"
#include "platform/plt_names.h"
#include "platform/plt_types.h"
#include "policy/manifestcheck.h"
#include "policy/manifestdiff.h"
#include "pstctl/report.h"
#include "pstctl/upfile.h"

/* Largest file that is read, in bytes. */
#define MAX_FILE    ((size_t)256 << 20)

#define CHUNK_BYTES 65536

/* A manifest's file. */
struct source {
	struct report_file file;
	struct buf text;
	struct routing *routing;
};

static const struct plt_place whole_file = {NULL, -1, NULL, -1};

static int read_file(const char *path, struct buf *out)
{
	FILE *file = fopen(path, "re");
	int err = file ? 0 : PST_ERR_IO;
	size_t n = 1;

	while (!err && n) {
		err = buf_reserve(out, CHUNK_BYTES);
		if (err)
			break;
		n = fread(out->ptr + out->len, 1, CHUNK_BYTES, file);
		out->len += n;
		if (ferror(file) || out->len > MAX_FILE)
			err = PST_ERR_IO;
	}
	if (file)
		fclose(file);
	return err;
}

static void report_fault(struct report *report, struct source *source,
			 const struct plt_fault *fault)
{
	const struct plt_place place = {fault->part, fault->row, fault->field,
					fault->item};

	report_add(report, &source->file, FINDING_ERROR, fault->line, &place,
		   fault->line ? "syntax" : "refused", fault->reason);
}

/* Reads a manifest; reports why it is refused. */
static int load(struct source *source, struct report *report)
{
	struct plt_fault fault;
	int err = read_file(source->file.path, &source->text);

	if (err) {
		report_add(report, &source->file, FINDING_ERROR, 0, &whole_file,
			   "unreadable", err_text(err));
		return err;
	}
	err = plt_explain_manifest(buf_str(&source->text), &source->routing,
				   &fault);
	/* A text with a syntax error has no places. */
	if (!err || !fault.line)
		source->file.text = buf_str(&source->text);
	if (err == PST_ERR_INVALID)
		report_fault(report, source, &fault);
	return err;
}

static void unload(struct source *source)
{
	if (source->routing)
		ref_put(&source->routing->ref);
	plt_lines_free(source->file.lines);
	buf_free(&source->text);
}

struct type_report {
	struct report *report;
	struct source *source;
};

static void on_type(void *ctx, const struct plt_place *place, const char *what)
{
	struct type_report *types = ctx;

	report_add(types->report, &types->source->file, FINDING_WARNING, 0,
		   place, "type", what);
}

static void report_findings(struct report *report, struct source *now,
			    struct source *before,
			    const struct findings *findings)
{
	for (size_t i = 0; i < findings->count; i++) {
		const struct finding *f = &findings->list[i];
		const struct plt_place place = plt_place_of(&f->place);

		report_add(report, f->place.other ? &before->file : &now->file,
			   f->severity, 0, &place, f->code, f->text);
	}
	if (findings->incomplete)
		report->no_memory = true;
}

static int read_upstreams(const char *path, struct upfile *upfile,
			  struct report *report)
{
	struct report_file file = {.path = path};
	struct buf text = {0};
	char reason[UPFILE_REASON_MAX];
	int err = read_file(path, &text);

	if (err)
		snprintf(reason, sizeof(reason), "%s", err_text(err));
	else
		err = upfile_read(buf_str(&text), upfile, reason);
	if (err)
		report_add(report, &file, FINDING_ERROR, 0, &whole_file,
			   "upstreams", reason);
	if (err == PST_ERR_NOMEM)
		report->no_memory = true;
	buf_free(&text);
	return err;
}

static void check(const struct configcheck *options, struct source *now,
		  struct source *before, struct report *report,
		  apr_pool_t *pool)
{
	struct type_report types = {report, now};
	struct upfile upfile = {0};
	struct findings findings = {0};
	const bool has_upstreams =
		options->upstreams &&
		!read_upstreams(options->upstreams, &upfile, report);

	plt_check_types(now->routing, on_type, &types);
	manifestcheck_run(now->routing, has_upstreams ? &upfile.ups : NULL,
			  pool, &findings);
	if (before->routing)
		manifestdiff_run(before->routing, now->routing, pool,
				 &findings);
	report_findings(report, now, before, &findings);
	findings_free(&findings);
	upfile_free(&upfile);
}

static int exit_status(const struct configcheck *options,
		       const struct report *report)
{
	if (report->no_memory)
		return CLI_EXIT_INTERNAL;
	if (report->counts[FINDING_ERROR])
		return CONFIGCHECK_EXIT_ERRORS;
	return options->strict && report->counts[FINDING_WARNING]
		       ? CONFIGCHECK_EXIT_WARNINGS
		       : CLI_EXIT_OK;
}

int configcheck_run(const struct configcheck *options, FILE *out)
{
	struct source now = {.file.path = options->path};
	struct source before = {.file.path = options->against};
	struct report report;
	apr_pool_t *pool = NULL;
	int err = 0;

	apr_initialize();
	report_init(&report, out, options->json);
	if (apr_pool_create(&pool, NULL))
		return CLI_EXIT_INTERNAL;
	if (options->against)
		err = load(&before, &report);
	if (err == PST_ERR_NOMEM || load(&now, &report) == PST_ERR_NOMEM)
		report.no_memory = true;
	if (now.routing)
		check(options, &now, &before, &report, pool);
	report_end(&report, options->path);
	unload(&now);
	unload(&before);
	apr_pool_destroy(pool);
	apr_terminate();
	return exit_status(options, &report);
}
