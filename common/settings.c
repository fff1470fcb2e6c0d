#include "common/settings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

static void record_problem(cyaml_log_t level, void *ctx, const char *fmt,
			   va_list args) __attribute__((format(printf, 3, 0)));

/*
 * cyaml reports the error first, then the path to it from the innermost
 * element outwards, each step as "in mapping field 'KEY' (line: N, column:
 * M)".
 */
static void record_problem(cyaml_log_t level, void *ctx, const char *fmt,
			   va_list args)
{
	struct settings_problem *problem = ctx;
	char text[256];
	const char *place;

	if (level < CYAML_LOG_ERROR)
		return;
	vsnprintf(text, sizeof(text), fmt, args);
	text[strcspn(text, "\n")] = '\0';
	place = strstr(text, "line: ");
	if (place && !problem->line)
		problem->line = strtoul(place + 6, NULL, 10);
	if (place && !problem->key[0]) {
		const char *quote = strchr(text, '\'');

		if (quote)
			snprintf(problem->key, sizeof(problem->key), "%.*s",
				 (int)strcspn(quote + 1, "'"), quote + 1);
	}
	if (!problem->reason[0] && strncmp(text, "Load: Backtrace", 15) != 0)
		snprintf(problem->reason, sizeof(problem->reason), "%.200s",
			 text);
}

static cyaml_config_t make_config(struct settings_problem *problem)
{
	return (cyaml_config_t){
		.log_fn = record_problem,
		.log_ctx = problem,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};
}

static bool line_has_key(const char *line, const char *key)
{
	const size_t len = strlen(key);

	line += strspn(line, " \t");
	return !strncmp(line, key, len) && line[len] == ':';
}

/*
 * Searches the text for the key, since cyaml keeps no position of a value or
 * an unknown key: below its section if that is given, else from first_line.
 */
static size_t find_line(const char *path, const char *section, const char *key,
			size_t first_line)
{
	FILE *file = fopen(path, "r");
	char line[1024];
	bool inside = !section;
	size_t number = 0;

	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file)) {
		number++;
		if (section && !strchr(" #\n", line[0]))
			inside = line_has_key(line, section);
		else if (inside && number >= first_line &&
			 line_has_key(line, key))
			break;
	}
	if (feof(file))
		number = 0;
	fclose(file);
	return number;
}

static void locate_unknown_key(const char *path,
			       struct settings_problem *problem)
{
	static const char mark[] = "Unexpected key: ";
	const char *key = strstr(problem->reason, mark);
	size_t line;

	if (!key)
		return;
	snprintf(problem->key, sizeof(problem->key), "%.63s",
		 key + sizeof(mark) - 1);
	line = find_line(path, NULL, problem->key, problem->line);
	if (line)
		problem->line = line;
}

static int load_raw(const char *path, void **raw,
		    struct settings_problem *problem)
{
	const cyaml_config_t config = make_config(problem);
	const cyaml_err_t err =
		cyaml_load_file(path, &config, &set_schema, raw, NULL);

	if (err == CYAML_OK)
		return 0;
	locate_unknown_key(path, problem);
	if (!problem->reason[0])
		snprintf(problem->reason, sizeof(problem->reason), "%s",
			 cyaml_strerror(err));
	return err == CYAML_ERR_FILE_OPEN ? PST_ERR_SETTINGS_OPEN
					  : PST_ERR_SETTINGS_SYNTAX;
}

int settings_load(const char *path, struct settings **out,
		  struct settings_problem *problem)
{
	struct set_range bad = {0};
	struct settings *set;
	void *raw = NULL;
	int err;

	memset(problem, 0, sizeof(*problem));
	err = load_raw(path, &raw, problem);
	if (err)
		return err;
	set = calloc(1, sizeof(*set));
	if (!set)
		return PST_ERR_NOMEM;
	err = set_convert(raw, set, &bad);
	if (err) {
		if (bad.key) {
			problem->line =
				find_line(path, bad.section, bad.key, 1);
			snprintf(problem->key, sizeof(problem->key), "%s",
				 bad.key);
			snprintf(problem->reason, sizeof(problem->reason),
				 "allowed: %s", bad.allowed);
		}
		settings_free(set);
		return err;
	}
	*out = set;
	return 0;
}

void settings_free(struct settings *set)
{
	struct settings_problem ignored = {0};
	const cyaml_config_t config = make_config(&ignored);

	if (!set)
		return;
	free(set->net.peers);
	free(set->net.proxies);
	free(set->steer.domains);
	if (set->raw)
		cyaml_free(&config, &set_schema, set->raw, 0);
	free(set);
}
