#include "common/err.h"

#include <stddef.h>

struct err_entry {
	int number;
	const char *name;
	const char *text;
};

static const struct err_entry entries[] = {
	{.number = 0, .name = "OK", .text = "success"},
#define X(n, num, t) {.number = (num), .name = #n, .text = (t)},
#include "schema/errors/all.def"
#undef X
};

static const struct err_entry *find_entry(int err)
{
	const size_t count = sizeof(entries) / sizeof(entries[0]);

	for (size_t i = 0; i < count; i++) {
		if (entries[i].number == err)
			return &entries[i];
	}
	return NULL;
}

const char *err_name(int err)
{
	const struct err_entry *entry = find_entry(err);

	return entry ? entry->name : "UNKNOWN";
}

const char *err_text(int err)
{
	const struct err_entry *entry = find_entry(err);

	return entry ? entry->text : "unknown error";
}
