#include "common/ctr.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES	 64
#define LABELS_MAX_BYTES 128
#define HELP_MAX_BYTES	 128

/* Each power of two is divided into 16 buckets. */
#define SUB_BITS     4
#define SUB_COUNT    (1u << SUB_BITS)
#define BUCKET_COUNT ((64 - SUB_BITS + 1) * SUB_COUNT)

struct series {
	struct series *next;
	char name[NAME_MAX_BYTES];
	char labels[LABELS_MAX_BYTES];
	char help[HELP_MAX_BYTES];
};

struct ctr {
	struct series series;
	atomic_uint_fast64_t value;
	atomic_bool gauge;
};

struct hist {
	struct series series;
	atomic_uint_fast64_t count;
	atomic_uint_fast64_t sum;
	atomic_uint_fast64_t buckets[BUCKET_COUNT];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct series *counters;
static struct series *histograms;
static struct ctr fallback_ctr;
static struct hist fallback_hst;

static struct series *find(struct series *list, const char *name,
			   const char *labels)
{
	for (; list; list = list->next) {
		if (!strcmp(list->name, name) && !strcmp(list->labels, labels))
			return list;
	}
	return NULL;
}

static struct series *find_or_add(struct series **list, size_t size,
				  const char *name, const char *labels,
				  const char *help)
{
	struct series *series;

	pthread_mutex_lock(&lock);
	series = find(*list, name, labels);
	if (!series) {
		series = calloc(1, size);
		if (series) {
			snprintf(series->name, sizeof(series->name), "%s",
				 name);
			snprintf(series->labels, sizeof(series->labels), "%s",
				 labels);
			snprintf(series->help, sizeof(series->help), "%s",
				 help);
			series->next = *list;
			*list = series;
		}
	}
	pthread_mutex_unlock(&lock);
	return series;
}

static unsigned bucket_of(uint64_t value)
{
	unsigned shift;

	if (value < SUB_COUNT)
		return (unsigned)value;
	shift = 63u - (unsigned)__builtin_clzll(value) - SUB_BITS;
	return (shift + 1) * SUB_COUNT +
	       (unsigned)((value >> shift) & (SUB_COUNT - 1));
}

/* Largest value that falls into the bucket. */
static uint64_t bucket_top(unsigned bucket)
{
	unsigned shift;

	if (bucket < SUB_COUNT)
		return bucket;
	shift = bucket / SUB_COUNT - 1;
	return ((uint64_t)(SUB_COUNT + bucket % SUB_COUNT + 1) << shift) - 1;
}

static void write_header(FILE *out, const struct series *series,
			 const char *type)
{
	fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", series->name, series->help,
		series->name, type);
}

static bool name_seen(const struct series *from, const struct series *upto)
{
	for (; from != upto; from = from->next) {
		if (!strcmp(from->name, upto->name))
			return true;
	}
	return false;
}

static void write_counter(FILE *out, const struct ctr *ctr)
{
	const struct series *s = &ctr->series;

	fprintf(out, "%s%s%s%s %llu\n", s->name, *s->labels ? "{" : "",
		s->labels, *s->labels ? "}" : "",
		(unsigned long long)ctr_value(ctr));
}

static void write_histogram(FILE *out, const struct hist *hist)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
	const struct series *s = &hist->series;
	const char *comma = *s->labels ? "," : "";

	for (size_t i = 0; i < sizeof(quantiles) / sizeof(*quantiles); i++) {
		fprintf(out, "%s{%s%squantile=\"%g\"} %llu\n", s->name,
			s->labels, comma, quantiles[i],
			(unsigned long long)hist_quantile(hist, quantiles[i]));
	}
	fprintf(out, "%s_sum{%s} %llu\n%s_count{%s} %llu\n", s->name, s->labels,
		(unsigned long long)hist->sum, s->name, s->labels,
		(unsigned long long)hist->count);
}

/* Groups series of the same name, as the format requires. */
static void write_all(FILE *out, const struct series *list, const char *type,
		      void (*put)(FILE *out, const struct series *series))
{
	for (const struct series *s = list; s; s = s->next) {
		if (name_seen(list, s))
			continue;
		write_header(out, s, type);
		for (const struct series *t = s; t; t = t->next) {
			if (!strcmp(s->name, t->name))
				put(out, t);
		}
	}
}

static void write_ctr_series(FILE *out, const struct series *series)
{
	write_counter(out, (const struct ctr *)series);
}

static void write_hst_series(FILE *out, const struct series *series)
{
	write_histogram(out, (const struct hist *)series);
}

struct ctr *ctr_get(const char *name, const char *labels, const char *help)
{
	struct series *s =
		find_or_add(&counters, sizeof(struct ctr), name, labels, help);

	return s ? (struct ctr *)s : &fallback_ctr;
}

void ctr_add(struct ctr *ctr, uint64_t n)
{
	atomic_fetch_add_explicit(&ctr->value, n, memory_order_relaxed);
}

void ctr_set(struct ctr *ctr, uint64_t value)
{
	ctr->gauge = true;
	atomic_store_explicit(&ctr->value, value, memory_order_relaxed);
}

uint64_t ctr_value(const struct ctr *ctr)
{
	return atomic_load_explicit(&ctr->value, memory_order_relaxed);
}

struct hist *hist_get(const char *name, const char *labels, const char *help)
{
	struct series *s = find_or_add(&histograms, sizeof(struct hist), name,
				       labels, help);

	return s ? (struct hist *)s : &fallback_hst;
}

void hist_record(struct hist *hist, uint64_t us)
{
	atomic_fetch_add_explicit(&hist->buckets[bucket_of(us)], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&hist->sum, us, memory_order_relaxed);
	atomic_fetch_add_explicit(&hist->count, 1, memory_order_relaxed);
}

uint64_t hist_quantile(const struct hist *hist, double q)
{
	const uint64_t count = hist->count;
	uint64_t want = (uint64_t)(q * (double)count);
	uint64_t seen = 0;

	if (!count)
		return 0;
	if (want >= count)
		want = count - 1;
	for (unsigned i = 0; i < BUCKET_COUNT; i++) {
		seen += hist->buckets[i];
		if (seen > want)
			return bucket_top(i);
	}
	return 0;
}

char *ctr_render(size_t *len)
{
	char *text = NULL;
	FILE *out = open_memstream(&text, len);

	if (!out)
		return NULL;
	pthread_mutex_lock(&lock);
	write_all(out, counters, "untyped", write_ctr_series);
	write_all(out, histograms, "summary", write_hst_series);
	pthread_mutex_unlock(&lock);
	fclose(out);
	return text;
}
