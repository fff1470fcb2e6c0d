/*
 * Cost of sharing limits at several sizes of the fleet: state, messages and
 * processor time, with simulated messages and without processes.
 */
#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/lending_node.h"
#include "schema/gen/share.h"

/* Settings for the target size: share.loan_ms and share.interval_ms. */
#define LOAN	    CLK_SEC(8)
#define DRAWS_PER_S 1

/* Limits that the VMs of a failure domain use at once. */
#define LIMITS 16

/* Failure domains of the target size. */
#define TARGET_DOMAINS 88

/* Rounds measured, over which costs are averaged. */
#define ROUNDS 200

static const size_t sizes[] = {24, 240, 2400, 6800};

static struct tbl *make_table(void)
{
	static struct tbl_region regions[23];
	static struct tbl_domain domains[TARGET_DOMAINS];
	static struct tbl_link links[22 * 21];
	static struct tbl tbl;
	char name[32];

	tbl = (struct tbl){
		.regions = regions,
		.region_count = 22,
		.domains = domains,
		.domain_count = TARGET_DOMAINS,
		.links = links,
	};
	for (uint32_t i = 0; i < 22; i++) {
		snprintf(name, sizeof(name), "region-%u", i);
		strbuf_set(&regions[i].name, str_from_c(name));
		for (uint32_t j = 0; j < 22; j++) {
			if (i == j)
				continue;
			links[tbl.link_count++] = (struct tbl_link){
				.from = i, .to = j, .bytes_per_s = 500000000};
		}
	}
	for (uint32_t i = 0; i < TARGET_DOMAINS; i++) {
		snprintf(name, sizeof(name), "region-%u-%u", i / 4, i % 4);
		strbuf_set(&domains[i].name, str_from_c(name));
		domains[i].region = i / 4;
	}
	return &tbl;
}

static void fill_asks(const struct tbl *tbl, struct lending_ask *asks)
{
	for (size_t i = 0; i < LIMITS; i++) {
		const struct tbl_link *link = &tbl->links[i % 42];

		asks[i].id = lending_link_id(
			strbuf_str(&tbl->regions[link->from].name),
			strbuf_str(&tbl->regions[link->to].name));
		asks[i].want = 1000 * (uint64_t)(1 + i);
	}
}

static void print_row(const char *quantity, size_t size, double value,
		      const char *unit)
{
	printf("share_lender,%s,%zu,%.3f,%s\n", quantity, size, value, unit);
}

static size_t bytes_of_request(void)
{
	char vm[] = "entry-0000";
	char lender[] = "region-00-0";
	struct shr_x_borrow request = {.vm = vm, .lender = lender};
	struct shr_x_ask *asks = calloc(LIMITS, sizeof(*asks));
	size_t bytes;

	request.asks.asks_val = asks;
	request.asks.asks_len = LIMITS;
	bytes = xdr_sizeof((xdrproc_t)xdr_shr_x_borrow, &request);
	free(asks);
	return bytes;
}

static void serve_all(struct lending_node *node, apr_time_t now,
		      size_t borrowers, const struct lending_ask *asks)
{
	static struct lending_grant grants[LIMITS];

	for (size_t i = 0; i < borrowers; i++) {
		struct lending_borrower from = {.incarnation = i + 1};
		char name[32];

		snprintf(name, sizeof(name), "entry-%zu", i);
		strbuf_set(&from.name, str_from_c(name));
		lending_node_serve(node, now, &from, asks, LIMITS, grants);
	}
}

/* One lender serves the VMs of a failure domain at this size of the fleet. */
static void measure(const struct tbl *tbl, size_t fleet)
{
	const size_t domains = fleet < 100 ? 6 : TARGET_DOMAINS;
	const size_t borrowers = (fleet + domains - 1) / domains;
	struct lending_ask asks[LIMITS];
	struct lending_node *node = NULL;
	struct lending_map *map = NULL;
	apr_time_t now = CLK_SEC(1);
	apr_time_t begun;
	double us;

	lending_node_create(&node, LOAN);
	lending_map_build(&map, tbl);
	lending_node_set_map(node, now, map);
	lending_node_hold(node, STR_LIT("region-0-0"), true);
	fill_asks(tbl, asks);
	begun = clk_now(clk_system());
	for (size_t i = 0; i < ROUNDS; i++) {
		now += CLK_SEC(1) / DRAWS_PER_S;
		serve_all(node, now, borrowers, asks);
	}
	us = (double)(clk_now(clk_system()) - begun) / ROUNDS;
	print_row("borrowers", fleet, (double)borrowers, "VMs");
	print_row("state", fleet, (double)lending_node_bytes(node), "bytes");
	print_row("cpu_per_message", fleet, us / (double)borrowers, "us");
	print_row("messages", fleet, (double)(borrowers * DRAWS_PER_S),
		  "messages/s");
	print_row("cpu", fleet, us * DRAWS_PER_S / 10000, "percent_of_core");
	print_row("received", fleet,
		  (double)(bytes_of_request() * borrowers * DRAWS_PER_S),
		  "bytes/s");
	lending_node_destroy(node);
	lending_map_put(map);
}

int main(void)
{
	const struct tbl *tbl = make_table();

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(tbl, sizes[i]);
	return 0;
}
