/*
 * explain logs, explain upstream: explain a request, or why an upstream gets
 * nothing, from collected logs of pst-steerd.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_file_info.h>
#include <apr_general.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <apr_tables.h>

#include "common/err.h"
#include "common/logline.h"
#include "common/evt.h"
#include "pstctl/cmd.h"

/* A log line of the result; its parts point into text owned by the pool. */
struct log_match {
	struct str vm;
	struct logline logline;
	/* What a state line is about; the last line of each subject is kept. */
	const char *subject;
};

struct search {
	apr_pool_t *pool;
	struct str id;
	/* Lines of the request, and the state its VM knew when it ended. */
	apr_array_header_t *request_lines;
	apr_array_header_t *state_lines;
	size_t lines;
};

typedef void line_fn(struct search *search, struct str vm,
		     const struct logline *logline);

struct meaning {
	const char *name;
	const char *text;
};

static const struct meaning causes[] = {
	{"answered", "an upstream's answer was passed on; see status and us"},
	{"shed", "every upstream that was tried had no slot"},
	{"past_aim", "it would have been late, and no slot was free"},
	{"yields", "more urgent work was late, and few slots were free"},
	{"no_room", "no upstream was usable, or no connection could be made"},
	{"late", "the expected wait was longer than the time left"},
	{"no_table", "the VM had no manifest, or no such route while the "
		     "store was unavailable"},
	{"no_route", "no route of the manifest is a prefix of the path"},
	{"stopping", "the VM was stopping"},
	{"unread", "answers that callers did not read took the memory"},
	{"upstream", "an attempt may have run but gave no complete answer"},
	{"timeout",
	 "the route's time-out passed while an upstream was working"},
	{"caller_gone", "the caller closed its connection first"},
	{"caller_reset", "the caller's connection was reset, or acknowledged "
			 "nothing for too long"},
	{"idle_timeout", "nothing was read or sent on the caller's connection "
			 "for the idle time-out"},
	{"no_memory", "the VM had no memory to go on with the connection"},
	{"behind_last_answer",
	 "the answer to an earlier request closed the connection"},
	{"not_read", "its connection was closed for memory: the caller had "
		     "not read earlier answers"},
	{"stop_cut", "the VM's process ended while the request was open; see "
		     "passed_on, read_ms and cut_ms of request_cut"},
};

/* Ways in which a connection ends that can leave an answer behind. */
static const struct meaning ends[] = {
	{"caller_gone", "the caller closed its connection first"},
	{"caller_reset", "the caller's connection was reset, or acknowledged "
			 "nothing for too long"},
	{"idle_timeout", "the caller read nothing for the idle time-out"},
	{"no_memory", "the VM had no memory to go on with the connection"},
	{"last_answer", "the connection was closed as the caller had asked, "
			"before all bytes were acknowledged"},
	{"behind_last_answer",
	 "the answer to an earlier request closed the connection"},
	{"linger_peer", "the caller closed its connection after the last "
			"answer, before all bytes were acknowledged"},
	{"linger_time", "the caller had the idle time-out to read the answer"},
	{"not_read", "the caller did not read, and the VM needed the memory"},
	{"stop_cut", "the VM's process ended"},
};

static struct str copy(const struct search *search, struct str text)
{
	return (struct str){
		.ptr = apr_pstrmemdup(search->pool, text.ptr, text.len),
		.len = text.len,
	};
}

static void copy_line(const struct search *search, struct log_match *log_match,
		      struct str vm, const struct logline *logline)
{
	log_match->vm = copy(search, vm);
	(void)logline_parse(copy(search, logline->text), &log_match->logline);
}

static void on_request_line(struct search *search, struct str vm,
			    const struct logline *logline)
{
	if (str_eq(logline_field(logline, STR_LIT("req")), search->id))
		copy_line(search, apr_array_push(search->request_lines), vm,
			  logline);
}

static bool is_attempted(const struct search *search, struct str upstream)
{
	for (int i = 0; i < search->request_lines->nelts; i++) {
		const struct log_match *line = &APR_ARRAY_IDX(
			search->request_lines, i, struct log_match);

		if (str_eq(logline_field(&line->logline, STR_LIT("upstream")),
			   upstream))
			return true;
	}
	return false;
}

/* Returns the subject of a line that changes a VM's state, or NULL. */
static const char *subject_of(const struct search *search,
			      const struct logline *logline)
{
	struct str about;

	switch (logline->event) {
	case EVT_ID_UPSTREAM_LISTED:
	case EVT_ID_UPSTREAM_LEFT:
	case EVT_ID_UPSTREAM_LEAVING:
	case EVT_ID_UPSTREAM_QUIET:
		about = logline_field(logline, STR_LIT("upstream"));
		return is_attempted(search, about)
			       ? apr_psprintf(search->pool, "upstream %.*s",
					      STR_ARG(about))
			       : NULL;
	case EVT_ID_MANIFEST_TAKEN:
	case EVT_ID_MANIFEST_REFUSED:
		return "manifest";
	case EVT_ID_EVACUATION:
		about = logline_field(logline, STR_LIT("domain"));
		return apr_psprintf(search->pool, "domain %.*s",
				    STR_ARG(about));
	case EVT_ID_FEED_LOST:
	case EVT_ID_FEED_BACK:
		about = logline_field(logline, STR_LIT("prefix"));
		return apr_psprintf(search->pool, "feed %.*s", STR_ARG(about));
	case EVT_ID_RELAY_TAKEN:
	case EVT_ID_RELAY_LEFT:
		return "relay";
	case EVT_ID_PROCESS_READY:
	case EVT_ID_PROCESS_STOP:
		return "process";
	case EVT_ID_PROCESS_DRAIN:
		return "drain";
	case EVT_ID_LOG_LOST:
		return "log";
	default:
		return NULL;
	}
}

/* Keeps a line in place of the last one on its subject. */
static void keep_last(struct search *search, const char *subject, struct str vm,
		      const struct logline *logline)
{
	struct log_match *log_match;

	for (int i = 0; i < search->state_lines->nelts; i++) {
		log_match = &APR_ARRAY_IDX(search->state_lines, i,
					   struct log_match);
		if (strcmp(log_match->subject, subject) == 0) {
			copy_line(search, log_match, vm, logline);
			return;
		}
	}
	log_match = apr_array_push(search->state_lines);
	log_match->subject = subject;
	copy_line(search, log_match, vm, logline);
}

static void on_state_line(struct search *search, struct str vm,
			  const struct logline *logline)
{
	const struct log_match *last = &APR_ARRAY_IDX(
		search->request_lines, search->request_lines->nelts - 1,
		struct log_match);
	const char *subject;

	if (!str_eq(vm, last->vm) ||
	    str_cmp(logline->stamp, last->logline.stamp) > 0)
		return;
	subject = subject_of(search, logline);
	if (subject)
		keep_last(search, subject, vm, logline);
}

/* Returns 0 or PST_ERR_NOTFOUND. */
static int read_lines(struct search *search, const char *path, const char *name,
		      line_fn *fn)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t room = 0;
	ssize_t len;

	if (!file)
		return PST_ERR_NOTFOUND;
	while ((len = getline(&line, &room, file)) > 0) {
		const struct str text = {
			.ptr = line,
			.len = (size_t)len - (line[len - 1] == '\n'),
		};
		struct logline logline;

		if (!logline_parse(text, &logline))
			continue;
		search->lines++;
		fn(search, logline.vm.len ? logline.vm : str_from_c(name),
		   &logline);
	}
	free(line);
	fclose(file);
	return 0;
}

/* Reads one file, or each file of a directory. */
static int read_logs(struct search *search, const char *path, line_fn *fn)
{
	apr_dir_t *dir;
	apr_finfo_t info;
	int err = 0;

	if (apr_dir_open(&dir, path, search->pool) != APR_SUCCESS)
		return read_lines(search, path, path, fn);
	while (!err && apr_dir_read(&info, APR_FINFO_NAME | APR_FINFO_TYPE,
				    dir) == APR_SUCCESS) {
		if (info.filetype == APR_REG)
			err = read_lines(search,
					 apr_psprintf(search->pool, "%s/%s",
						      path, info.name),
					 info.name, fn);
	}
	apr_dir_close(dir);
	return err;
}

static int by_stamp(const void *a, const void *b)
{
	return str_cmp(((const struct log_match *)a)->logline.stamp,
		       ((const struct log_match *)b)->logline.stamp);
}

static void print_lines(apr_array_header_t *lines)
{
	qsort(lines->elts, (size_t)lines->nelts, sizeof(struct log_match),
	      by_stamp);
	for (int i = 0; i < lines->nelts; i++) {
		const struct log_match *line =
			&APR_ARRAY_IDX(lines, i, struct log_match);

		printf("  %.*s %.*s\n", STR_ARG(line->vm),
		       STR_ARG(line->logline.text));
	}
}

static void print_meaning(const char *title, const struct meaning *meanings,
			  size_t count, struct str name)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(name, str_from_c(meanings[i].name)))
			printf("%s: %s: %s\n", title, meanings[i].name,
			       meanings[i].text);
	}
}

static void print_cause(const struct search *search)
{
	struct str why = {0};

	for (int i = 0; i < search->request_lines->nelts; i++) {
		const struct logline *line =
			&APR_ARRAY_IDX(search->request_lines, i,
				       struct log_match)
				 .logline;

		/* A try that failed takes a later line, which is missing. */
		if (line->event != EVT_ID_ANSWER_UNSENT)
			why = logline_field(line, STR_LIT("why"));
		else
			print_meaning("answer not delivered whole", ends,
				      sizeof(ends) / sizeof(*ends),
				      logline_field(line, STR_LIT("end")));
	}
	print_meaning("cause", causes, sizeof(causes) / sizeof(*causes), why);
	if (!why.len)
		printf("cause: unknown: its last line was not logged; the VM "
		       "ended, or lines were lost\n");
}

static int explain(struct search *search, const char *path)
{
	if (read_logs(search, path, on_request_line)) {
		fprintf(stderr, "pstctl: %s cannot be read\n", path);
		return CLI_EXIT_UNAVAILABLE;
	}
	if (!search->request_lines->nelts) {
		printf("no line of %zu names the request: it reached no VM, "
		       "or its VM was killed or lost lines (log_lost)\n",
		       search->lines);
		return CLI_EXIT_FAILED;
	}
	printf("the request:\n");
	print_lines(search->request_lines);
	if (read_logs(search, path, on_state_line))
		return CLI_EXIT_UNAVAILABLE;
	printf("what its VM knew, from the last line on each subject:\n");
	print_lines(search->state_lines);
	print_cause(search);
	return CLI_EXIT_OK;
}

static const char *meaning_of(const struct logline *logline)
{
	switch (logline->event) {
	case EVT_ID_UPSTREAM_LISTED:
		return "as its entry in the store says; draining=1: no "
		       "requests";
	case EVT_ID_UPSTREAM_LEFT:
		return "it has no entry";
	case EVT_ID_UPSTREAM_LEAVING:
		return "its answer to req said that it leaves; holds until it "
		       "has ended";
	case EVT_ID_UPSTREAM_QUIET:
		return "its refusal of req asked for no requests for quiet_ms";
	case EVT_ID_UPSTREAM_PACE:
		return "from that line on this VM sent it share of its "
		       "requests at first, or while cold=1 cold_part of the "
		       "rate allowed; change=end: all of them again";
	case EVT_ID_FLOW_DONE:
		return "when req was sent to it, it had last reported its run "
		       "time as speed percent of usual, speed_age_ms before";
	default:
		return NULL;
	}
}

/* Whether the line describes the upstream that it names. */
static bool is_on_upstream(const struct logline *logline)
{
	const struct str speed = logline_field(logline, STR_LIT("speed"));

	if (logline->event == EVT_ID_FLOW_DONE)
		return speed.len && !str_eq(speed, STR_LIT("0"));
	return meaning_of(logline);
}

static void on_upstream_line(struct search *search, struct str vm,
			     const struct logline *logline)
{
	if (!is_on_upstream(logline) ||
	    !str_eq(logline_field(logline, STR_LIT("upstream")), search->id))
		return;
	keep_last(search,
		  apr_psprintf(search->pool, "%.*s %u", STR_ARG(vm),
			       (unsigned)logline->event),
		  vm, logline);
}

static int explain_upstream(struct search *search, const char *path)
{
	if (read_logs(search, path, on_upstream_line)) {
		fprintf(stderr, "pstctl: %s cannot be read\n", path);
		return CLI_EXIT_UNAVAILABLE;
	}
	if (!search->state_lines->nelts) {
		printf("no line of %zu names the upstream: it was never "
		       "listed\n",
		       search->lines);
		return CLI_EXIT_FAILED;
	}
	printf("the last line of each kind, by VM:\n");
	print_lines(search->state_lines);
	for (int i = 0; i < search->state_lines->nelts; i++) {
		const struct logline *line =
			&APR_ARRAY_IDX(search->state_lines, i, struct log_match)
				 .logline;

		printf("%.*s: %s\n", STR_ARG(line->name), meaning_of(line));
	}
	return CLI_EXIT_OK;
}

static int run_search(const char *id, const char *path,
		      int (*fn)(struct search *search, const char *path))
{
	struct search search = {.id = str_from_c(id)};
	int status;

	apr_initialize();
	apr_pool_create(&search.pool, NULL);
	search.request_lines =
		apr_array_make(search.pool, 8, sizeof(struct log_match));
	search.state_lines =
		apr_array_make(search.pool, 16, sizeof(struct log_match));
	status = fn(&search, path);
	apr_pool_destroy(search.pool);
	apr_terminate();
	return status;
}

int cmd_explain_logs(const char *id, const char *path)
{
	return run_search(id, path, explain);
}

int cmd_explain_upstream(const char *id, const char *path)
{
	return run_search(id, path, explain_upstream);
}
