#include "fakes/caller/work.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

#define TEXT_BYTES	    512
#define DEFAULT_DEADLINE_MS 5000
#define DEFAULT_TRIES	    4

static const char *const kind_names[] = {
	[WORKLOAD_GET] = "get",
	[WORKLOAD_BOOK] = "book",
	[WORKLOAD_UPLOAD] = "upload",
	[WORKLOAD_BLOB] = "blob",
};

static int parse_kind(struct str value, enum workload_kind *out)
{
	for (int i = WORKLOAD_GET; i <= WORKLOAD_BLOB; i++) {
		if (!str_eq(value, str_from_c(kind_names[i])))
			continue;
		*out = (enum workload_kind)i;
		return 0;
	}
	return PST_ERR_FAKE_WORK;
}

static int set_number(struct workload *work, struct str name, uint64_t number)
{
	const struct {
		const char *name;
		uint32_t *field;
	} fields[] = {
		{"rate", &work->rate},
		{"closed", &work->closed},
		{"ms", &work->ms},
		{"tries", &work->tries},
		{"from", &work->from_ms},
		{"to", &work->to_ms},
		{"deadline", &work->deadline_ms},
	};

	if (str_eq(name, STR_LIT("bytes"))) {
		work->bytes = number;
		return 0;
	}
	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		if (!str_eq(name, str_from_c(fields[i].name)))
			continue;
		*fields[i].field = (uint32_t)number;
		return 0;
	}
	return PST_ERR_FAKE_WORK;
}

static int set_field(struct workload *work, struct str name, struct str value)
{
	uint64_t number;

	if (str_eq(name, STR_LIT("name")))
		return strbuf_set(&work->name, value);
	if (str_eq(name, STR_LIT("service")))
		return strbuf_set(&work->service, value);
	if (str_eq(name, STR_LIT("kind")))
		return parse_kind(value, &work->kind);
	if (str_eq(name, STR_LIT("rank")))
		return rank_parse(value, &work->rank);
	if (str_to_u64(value, &number))
		return PST_ERR_FAKE_WORK;
	return set_number(work, name, number);
}

int workload_parse(const char *text, struct workload *out)
{
	char copy[TEXT_BYTES];
	char *rest = NULL;
	char *field;

	if (strlen(text) >= sizeof(copy))
		return PST_ERR_FAKE_WORK;
	memcpy(copy, text, strlen(text) + 1);
	memset(out, 0, sizeof(*out));
	out->rank = RANK_NORMAL;
	out->ms = UINT32_MAX;
	out->deadline_ms = DEFAULT_DEADLINE_MS;
	out->tries = DEFAULT_TRIES;
	out->to_ms = UINT32_MAX;
	for (field = strtok_r(copy, ",", &rest); field;
	     field = strtok_r(NULL, ",", &rest)) {
		char *equals = strchr(field, '=');

		if (!equals)
			return PST_ERR_FAKE_WORK;
		*equals = '\0';
		if (set_field(out, str_from_c(field), str_from_c(equals + 1)))
			return PST_ERR_FAKE_WORK;
	}
	if (!out->name.len)
		out->name = out->service;
	return out->service.len ? 0 : PST_ERR_FAKE_WORK;
}

const char *workload_kind_name(enum workload_kind kind)
{
	return kind_names[kind];
}

void workload_sample(struct workload_samples *samples, apr_interval_time_t us)
{
	uint32_t *grown;

	if (samples->count == samples->room) {
		samples->room = samples->room ? 2 * samples->room : 1024;
		grown = realloc(samples->us, samples->room * sizeof(*grown));
		if (!grown)
			abort();
		samples->us = grown;
	}
	samples->us[samples->count++] = (uint32_t)us;
}

static int compare(const void *a, const void *b)
{
	const uint32_t x = *(const uint32_t *)a;
	const uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

uint32_t workload_quantile(struct workload_samples *samples, double q)
{
	size_t index;

	if (!samples->count)
		return 0;
	qsort(samples->us, samples->count, sizeof(*samples->us), compare);
	index = (size_t)(q * (double)samples->count);
	if (index >= samples->count)
		index = samples->count - 1;
	return samples->us[index];
}
