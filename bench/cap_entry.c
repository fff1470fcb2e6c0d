/*
 * Cost of pst-entryd's own work per request: the state machine of its path,
 * parsing of its head, a log line and a counter; and the memory of a request.
 */
#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "common/ctr.h"
#include "common/evt.h"
#include "entryd/hdr.h"
#include "entryd/req.h"

#define LOG_MODULE "bench"

#define ROUNDS	   200000

static void print_line(const char *quantity, size_t size, double value,
		       const char *unit)
{
	printf("entry,%s,%zu,%.3f,%s\n", quantity, size, value, unit);
}

static double elapsed_ns(apr_time_t began, size_t rounds)
{
	const apr_interval_time_t us = clk_now(clk_system()) - began;

	return (double)us * 1000 / (double)rounds;
}

/* Runs every step of a keyed request that gets a whole answer. */
static void step_request(void)
{
	static const struct reqstate_event events[] = {
		{.kind = REQSTATE_EV_START},
		{.kind = REQSTATE_EV_TICKET, .ticket = REQSTATE_TICKET_RUN},
		{.kind = REQSTATE_EV_PERMIT, .permit = REQSTATE_PERMIT_GRANTED},
		{.kind = REQSTATE_EV_HEAD},
		{.kind = REQSTATE_EV_RESULT, .result = REQSTATE_RESULT_WHOLE},
	};
	struct reqstate_actions actions;
	struct reqstate reqstate;

	reqstate_init(&reqstate, false, true);
	for (size_t i = 0; i < sizeof(events) / sizeof(*events); i++)
		reqstate_step(&reqstate, &events[i], &actions);
}

static void parse_head(void)
{
	struct strbuf service;
	enum rank rank;
	struct str out;
	uint32_t ms;

	hdr_path(STR_LIT("/s/status/wheels/4711?fields=state"), &service, &out);
	hdr_priority(STR_LIT("u=1, i"), &rank);
	hdr_deadline(STR_LIT("1500"), &ms);
	hdr_key(STR_LIT("\"pst1-bd941e9f2dfcb78b-1-0\""), 128, &out);
}

static void write_line(void)
{
	evt_log(REQ_DOMAIN, "req=%s domain=%s from=%s try=%u",
		"16bb892a456b5cb6-1", "almaty-1", "almaty-2", 1U);
}

static void count(void)
{
	static struct ctr *ctr;
	static struct hist *hist;

	if (!ctr) {
		ctr = ctr_get("bench", "", "Bench.");
		hist = hist_get("bench_us", "", "Bench.");
	}
	ctr_add(ctr, 1);
	hist_record(hist, 1234);
}

static void measure(const char *quantity, void (*run)(void))
{
	for (size_t rounds = ROUNDS / 100; rounds <= ROUNDS; rounds *= 10) {
		const apr_time_t began = clk_now(clk_system());

		for (size_t i = 0; i < rounds; i++)
			run();
		print_line(quantity, rounds, elapsed_ns(began, rounds), "ns");
	}
}

int main(void)
{
	FILE *sink = fopen("/dev/null", "w");

	if (!sink)
		return EXIT_FAILURE;
	evt_redirect(sink);
	measure("path_rules", step_request);
	measure("head", parse_head);
	measure("log_line", write_line);
	measure("counter_and_histogram", count);
	print_line("request_state", 1, (double)sizeof(struct req), "bytes");
	fclose(sink);
	return EXIT_SUCCESS;
}
