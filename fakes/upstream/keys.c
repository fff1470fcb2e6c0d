#include "fakes/upstream/keys.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/err.h"

#define LINE_BYTES 256

struct key_journal {
	json_t *counts;
	int fd;
};

static uint64_t count_key(struct key_journal *keys, const char *name)
{
	json_t *count = json_object_get(keys->counts, name);

	if (!count) {
		json_object_set_new(keys->counts, name, json_integer(1));
		return 1;
	}
	json_integer_set(count, json_integer_value(count) + 1);
	return (uint64_t)json_integer_value(count);
}

static void read_journal(struct key_journal *keys, const char *path)
{
	char line[LINE_BYTES];
	FILE *file = fopen(path, "re");

	if (!file)
		return;
	while (fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0])
			count_key(keys, line);
	}
	fclose(file);
}

int key_journal_open(struct key_journal **out, const char *path)
{
	struct key_journal *keys = calloc(1, sizeof(*keys));

	if (!keys)
		return PST_ERR_NOMEM;
	keys->counts = json_object();
	keys->fd = -1;
	*out = keys;
	if (!path)
		return 0;
	read_journal(keys, path);
	keys->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	return keys->fd < 0 ? PST_ERR_IO : 0;
}

uint64_t key_journal_add(struct key_journal *keys, struct str key)
{
	char line[LINE_BYTES];
	const int len = snprintf(line, sizeof(line), "%.*s\n", STR_ARG(key));

	if (len < 2 || len >= (int)sizeof(line))
		return 0;
	if (keys->fd >= 0 && write(keys->fd, line, (size_t)len) != len)
		return 0;
	line[len - 1] = '\0';
	return count_key(keys, line);
}

json_t *key_journal_dump(const struct key_journal *keys)
{
	return json_incref(keys->counts);
}
