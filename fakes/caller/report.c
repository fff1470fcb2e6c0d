#include "fakes/caller/report.h"

#include <stdio.h>

#include "common/err.h"

#define US_PER_MS 1000.0

static void print_work(struct workload *work)
{
	printf("%-14s %-7s %-6s %7llu %7llu %7llu %7llu %6llu %8.2f %8.2f "
	       "%8.2f\n",
	       work->name.ptr, rank_name(work->rank),
	       workload_kind_name(work->kind), (unsigned long long)work->sent,
	       (unsigned long long)work->outcomes[WORKLOAD_WHOLE],
	       (unsigned long long)work->outcomes[WORKLOAD_NOT_RUN],
	       (unsigned long long)work->outcomes[WORKLOAD_UNKNOWN],
	       (unsigned long long)work->outcomes[WORKLOAD_WRONG],
	       workload_quantile(&work->samples, 0.5) / US_PER_MS,
	       workload_quantile(&work->samples, 0.99) / US_PER_MS,
	       workload_quantile(&work->samples, 0.999) / US_PER_MS);
}

static void print_rank(const struct rpt *report, enum rank rank)
{
	struct workload_samples all = {0};

	for (size_t i = 0; i < report->count; i++) {
		const struct workload *work = &report->works[i];

		for (size_t j = 0;
		     work->rank == rank && j < work->samples.count; j++)
			workload_sample(&all, work->samples.us[j]);
	}
	if (!all.count)
		return;
	printf("rank %-7s whole %zu p50 %.2f ms p99 %.2f ms p99.9 %.2f ms\n",
	       rank_name(rank), all.count,
	       workload_quantile(&all, 0.5) / US_PER_MS,
	       workload_quantile(&all, 0.99) / US_PER_MS,
	       workload_quantile(&all, 0.999) / US_PER_MS);
}

static void print_reasons(const json_t *reasons)
{
	const char *name;
	json_t *count;

	json_object_foreach((json_t *)(uintptr_t)reasons, name, count)
		printf("attempts refused or failed: %s %lld\n", name,
		       (long long)json_integer_value(count));
}

static void print_keys(const struct keyrec_result *keys)
{
	if (!keys)
		return;
	printf("keys %llu: doubled %llu, told not run but run %llu, told whole "
	       "but not run %llu; unknown: run %llu, not run %llu\n",
	       (unsigned long long)keys->keys,
	       (unsigned long long)keys->doubled,
	       (unsigned long long)keys->contradicted,
	       (unsigned long long)keys->lost,
	       (unsigned long long)keys->unknown_run,
	       (unsigned long long)keys->unknown_not_run);
}

void rpt_print(const struct rpt *report)
{
	printf("seed %llu, %.1f s\n", (unsigned long long)report->seed,
	       report->seconds);
	printf("%-14s %-7s %-6s %7s %7s %7s %7s %6s %8s %8s %8s\n", "work",
	       "rank", "kind", "sent", "whole", "not run", "unknown", "wrong",
	       "p50 ms", "p99 ms", "p99.9 ms");
	for (size_t i = 0; i < report->count; i++)
		print_work(&report->works[i]);
	for (int rank = 0; rank < RANK_COUNT; rank++)
		print_rank(report, (enum rank)rank);
	print_reasons(report->reasons);
	print_keys(report->keys);
	if (report->stale_lookups)
		printf("look-ups failed with an older answer in use: %llu\n",
		       (unsigned long long)report->stale_lookups);
	if (report->unfinished)
		printf("without an end: %llu\n",
		       (unsigned long long)report->unfinished);
	printf("%s\n", rpt_clean(report) ? "nothing lost, doubled or mixed up"
					 : "FAILED: lost, doubled or mixed up");
}

int rpt_write_csv(const struct rpt *report, const char *path)
{
	FILE *file = fopen(path, "we");

	if (!file)
		return PST_ERR_IO;
	fprintf(file, "work,rank,kind,sent,attempts,whole,in_time,not_run,"
		      "unknown,wrong,held_back,p50_us,p99_us,p999_us\n");
	for (size_t i = 0; i < report->count; i++) {
		struct workload *work = &report->works[i];

		fprintf(file,
			"%s,%s,%s,%llu,%llu,%llu,%llu,%llu,%llu,%llu,%llu,%u,"
			"%u,%u\n",
			work->name.ptr, rank_name(work->rank),
			workload_kind_name(work->kind),
			(unsigned long long)work->sent,
			(unsigned long long)work->attempts,
			(unsigned long long)work->outcomes[WORKLOAD_WHOLE],
			(unsigned long long)work->in_time,
			(unsigned long long)work->outcomes[WORKLOAD_NOT_RUN],
			(unsigned long long)work->outcomes[WORKLOAD_UNKNOWN],
			(unsigned long long)work->outcomes[WORKLOAD_WRONG],
			(unsigned long long)work->held_back,
			workload_quantile(&work->samples, 0.5),
			workload_quantile(&work->samples, 0.99),
			workload_quantile(&work->samples, 0.999));
	}
	fclose(file);
	return 0;
}

bool rpt_clean(const struct rpt *report)
{
	const struct keyrec_result *keys = report->keys;

	for (size_t i = 0; i < report->count; i++) {
		if (report->works[i].outcomes[WORKLOAD_WRONG])
			return false;
	}
	if (keys && (keys->doubled || keys->contradicted || keys->lost))
		return false;
	return !report->unfinished;
}
