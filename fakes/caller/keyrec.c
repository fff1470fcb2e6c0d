#include "fakes/caller/keyrec.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "fake-caller"

#define PATH_BYTES 1024
#define LINE_BYTES 256
#define SUFFIX	   ".journal"

static const char *const outcome_names[] = {
	[WORKLOAD_WHOLE] = "whole",
	[WORKLOAD_NOT_RUN] = "not_run",
	[WORKLOAD_UNKNOWN] = "unknown",
	[WORKLOAD_WRONG] = "wrong",
};

struct keyrec {
	/* Last reported outcome by key. */
	json_t *reported;
};

static void count_line(json_t *runs, char *line)
{
	json_t *count;

	line[strcspn(line, "\n")] = '\0';
	count = json_object_get(runs, line);
	if (count)
		json_integer_set(count, json_integer_value(count) + 1);
	else if (line[0])
		json_object_set_new(runs, line, json_integer(1));
}

static void read_journal(json_t *runs, const char *path)
{
	char line[LINE_BYTES];
	FILE *file = fopen(path, "re");

	if (!file)
		return;
	while (fgets(line, sizeof(line), file))
		count_line(runs, line);
	fclose(file);
}

static int read_journals(json_t *runs, const char *folder)
{
	char path[PATH_BYTES];
	DIR *dir = opendir(folder);
	struct dirent *entry;

	if (!dir)
		return PST_ERR_IO;
	while ((entry = readdir(dir))) {
		const size_t len = strlen(entry->d_name);

		if (len <= strlen(SUFFIX) ||
		    strcmp(entry->d_name + len - strlen(SUFFIX), SUFFIX) != 0)
			continue;
		snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
		read_journal(runs, path);
	}
	closedir(dir);
	return 0;
}

static void check_key(const char *key, enum workload_outcome reported,
		      json_int_t runs, struct keyrec_result *out)
{
	const bool contradicted = reported == WORKLOAD_NOT_RUN && runs > 0;
	const bool lost = reported == WORKLOAD_WHOLE && runs == 0;

	out->keys++;
	out->doubled += runs > 1;
	out->contradicted += contradicted;
	out->lost += lost;
	if (reported == WORKLOAD_UNKNOWN && runs)
		out->unknown_run++;
	if (reported == WORKLOAD_UNKNOWN && !runs)
		out->unknown_not_run++;
	if (runs > 1 || contradicted || lost)
		evt_log(FAKE_DOUBLED, "key=%s runs=%lld outcome=%s", key,
			(long long)runs, outcome_names[reported]);
}

int keyrec_create(struct keyrec **out)
{
	struct keyrec *keys = calloc(1, sizeof(*keys));

	if (!keys)
		return PST_ERR_NOMEM;
	keys->reported = json_object();
	*out = keys;
	return 0;
}

void keyrec_note(struct keyrec *keys, const char *key,
		 enum workload_outcome outcome)
{
	json_object_set_new(keys->reported, key, json_integer((int)outcome));
}

int keyrec_check(struct keyrec *keys, const char *folder,
		 struct keyrec_result *out)
{
	json_t *runs = json_object();
	const char *key;
	json_t *reported;
	const int err = read_journals(runs, folder);

	memset(out, 0, sizeof(*out));
	json_object_foreach(keys->reported, key, reported) check_key(
		key, (enum workload_outcome)json_integer_value(reported),
		json_integer_value(json_object_get(runs, key)), out);
	json_decref(runs);
	return err;
}
