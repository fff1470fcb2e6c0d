/*
 * Cost of the table, of membership and of the calls to the store: prints CSV
 * lines role,quantity,size,value,unit.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "agent/tablemsg.h"
#include "common/clk.h"
#include "common/err.h"
#include "common/settings.h"
#include "policy/head.h"
#include "policy/liveness.h"
#include "policy/partset.h"
#include "policy/relay.h"

#define REGIONS		   22
#define DOMAINS		   88
#define DOMAINS_PER_REGION 4
#define NAME_SIZE	   32

#define US_PER_MINUTE	   60000000.0
#define MS_PER_MINUTE	   60000.0
#define CHANGES_PER_DAY	   14000.0
#define MINUTES_PER_DAY	   1440.0

/* Times that a short operation is repeated. */
#define REPEATS 200

static void print(const char *quantity, size_t size, double value,
		  const char *unit)
{
	printf("table,%s,%zu,%.3f,%s\n", quantity, size, value, unit);
}

static void domain_name(char out[NAME_SIZE], int d)
{
	snprintf(out, NAME_SIZE, "region-%02d-%d", d / DOMAINS_PER_REGION,
		 d % DOMAINS_PER_REGION + 1);
}

static json_t *make_manifest(size_t services)
{
	json_t *regions = json_array();
	json_t *domains = json_array();
	json_t *links = json_array();
	json_t *names = json_array();
	char name[NAME_SIZE];
	char other[NAME_SIZE];

	for (int r = 0; r < REGIONS; r++) {
		snprintf(name, sizeof(name), "region-%02d", r);
		json_array_append_new(regions, json_string(name));
		for (int to = 0; to < REGIONS; to++) {
			snprintf(other, sizeof(other), "region-%02d", to);
			if (to != r)
				json_array_append_new(
					links,
					json_pack("{s:s,s:s,s:i}", "from", name,
						  "to", other, "mbps", 4000));
		}
	}
	for (int d = 0; d < DOMAINS; d++) {
		domain_name(name, d);
		snprintf(other, sizeof(other), "region-%02d",
			 d / DOMAINS_PER_REGION);
		json_array_append_new(
			domains,
			json_pack("{s:s,s:s}", "name", name, "region", other));
	}
	for (size_t s = 0; s < services; s++) {
		snprintf(name, sizeof(name), "site-%04zu", s);
		json_array_append_new(names, json_string(name));
	}
	return json_pack("{s:o,s:o,s:o,s:o}", "regions", regions, "domains",
			 domains, "links", links, "services", names);
}

static json_t *make_service(int weight)
{
	json_t *rows = json_array();
	char name[NAME_SIZE];

	for (int rank = 0; rank < RANK_COUNT; rank++) {
		json_t *weights = json_object();
		json_t *limits = json_object();

		for (int d = 0; d < DOMAINS; d++) {
			domain_name(name, d);
			json_object_set_new(
				weights, name,
				json_integer(weight + random() % 100));
		}
		for (int r = 0; r < REGIONS; r++) {
			snprintf(name, sizeof(name), "region-%02d", r);
			json_object_set_new(limits, name, json_integer(200));
		}
		json_array_append_new(
			rows, json_pack("{s:s,s:i,s:i,s:i,s:o,s:o}", "rank",
					rank_name((enum rank)rank),
					"deadline_ms", 1000, "reserved_pct", 30,
					"shift_cap_pct_per_s", 10, "weights",
					weights, "region_limits", limits));
	}
	return json_pack("{s:o}", "rows", rows);
}

static struct str dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return str_from_c(text);
}

static struct tbl_part *make_parts(size_t services)
{
	struct tbl_part *parts = calloc(services + 1, sizeof(*parts));
	const struct str service = dump(make_service(100));

	if (!parts)
		abort();
	parts[0].key = STR_LIT(TBL_KEY_MANIFEST);
	parts[0].mod_revision = 1;
	parts[0].value = dump(make_manifest(services));
	for (size_t s = 0; s < services; s++) {
		char *key = NULL;

		if (asprintf(&key, TBL_PREFIX_SERVICE "site-%04zu", s) < 0)
			abort();
		parts[s + 1].key = str_from_c(key);
		parts[s + 1].mod_revision = s + 2;
		parts[s + 1].value = service;
	}
	return parts;
}

static size_t heap_used(void)
{
	const struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static double since_us(apr_time_t began)
{
	return (double)(clk_now(clk_system()) - began);
}

static void measure_apply(struct tbl *tbl, size_t services)
{
	const struct tbl_part change = {
		.key = STR_LIT(TBL_PREFIX_SERVICE "site-0001"),
		.mod_revision = services + 10,
		.value = dump(make_service(7)),
	};
	const apr_time_t began = clk_now(clk_system());
	struct tbl_problem problem;
	double cost;

	for (int i = 0; i < REPEATS; i++) {
		struct tbl *next = NULL;

		if (tbl_apply(&next, tbl, &change, 1, change.mod_revision,
			      &problem))
			abort();
		tbl_put(next);
	}
	cost = since_us(began) / REPEATS;
	print("apply_one_change", services, cost, "us");
	print("apply_core_share_at_target", services,
	      100 * cost * CHANGES_PER_DAY / MINUTES_PER_DAY / US_PER_MINUTE,
	      "percent_of_core");
	free((char *)change.value.ptr);
}

static void measure_parts(const struct tbl_part *parts, size_t services)
{
	const size_t before = heap_used();
	apr_time_t began;
	struct tbl_part *list;
	struct partset *partset;
	size_t taken;
	size_t count;
	bool more;

	if (partset_create(&partset) ||
	    partset_take(partset, parts, services + 1, &taken))
		abort();
	print("parts_memory", services, (double)(heap_used() - before),
	      "bytes");
	began = clk_now(clk_system());
	for (int i = 0; i < REPEATS; i++) {
		if (partset_since(partset, services, SIZE_MAX, &list, &count,
				  &more))
			abort();
		partset_free(list, count);
	}
	print("find_changed_parts", services, since_us(began) / REPEATS, "us");
	began = clk_now(clk_system());
	if (partset_since(partset, 0, SIZE_MAX, &list, &count, &more))
		abort();
	partset_free(list, count);
	print("list_all_parts", services, since_us(began) / 1000, "ms");
	partset_destroy(partset);
}

static void measure_table(size_t services)
{
	struct tbl_part *parts = make_parts(services);
	const size_t before = heap_used();
	const apr_time_t began = clk_now(clk_system());
	struct tbl_problem problem;
	struct tbl *tbl = NULL;
	size_t bytes = 0;

	if (tbl_parse(&tbl, parts, services + 1, 1, &problem))
		abort();
	print("parse_whole", services, since_us(began) / 1000, "ms");
	print("decoded_memory", services, (double)(heap_used() - before),
	      "bytes");
	for (size_t i = 0; i <= services; i++)
		bytes += parts[i].value.len;
	print("stored_bytes", services, (double)bytes, "bytes");
	print("largest_value", services,
	      (double)(parts[0].value.len > parts[1].value.len
			       ? parts[0].value.len
			       : parts[1].value.len),
	      "bytes");
	measure_apply(tbl, services);
	measure_parts(parts, services);
	tbl_put(tbl);
	for (size_t s = 1; s <= services; s++)
		free((char *)parts[s].key.ptr);
	free((char *)parts[1].value.ptr);
	free((char *)parts[0].value.ptr);
	free(parts);
}

/* One edit: the part of its service and the head with its recent edits. */
static void measure_change(size_t recent)
{
	const struct str service = dump(make_service(7));
	const struct head_edit edit = {
		.id = STR_LIT("0123456789abcdef0123456789abcdef"),
		.who = STR_LIT("operator"),
		.when = STR_LIT("2026-01-01T00:00:00Z"),
	};
	const struct str key = STR_LIT(TBL_PREFIX_SERVICE "site-0001");
	struct str head = {0};
	struct tbl_part parts[2];
	table_change change = {.from = (char *)"entry-0001"};

	for (size_t i = 0; i < recent; i++) {
		struct str next;

		if (head_next(head, 1000000 + i, &edit, &key, 1, &next))
			abort();
		free((char *)head.ptr);
		head = next;
	}
	parts[0] = (struct tbl_part){.key = key, .value = service};
	parts[1] = (struct tbl_part){.key = STR_LIT(HEAD_KEY), .value = head};
	change.parts.parts_len = 2;
	change.parts.parts_val = tablemsg_parts_encode(parts, 2);
	print("change_message", recent,
	      (double)xdr_sizeof((xdrproc_t)xdr_table_change, &change),
	      "bytes");
	change.from = NULL;
	xdr_free((xdrproc_t)xdr_table_change, &change);
	free((char *)head.ptr);
	free((char *)service.ptr);
}

static struct vmlist *make_list(size_t vms, size_t domains)
{
	struct vmlist *list = NULL;

	if (vmlist_create(&list, vms))
		abort();
	for (size_t i = 0; i < vms; i++) {
		struct vm *vm = &list->vms[i];
		char text[NAME_SIZE];

		snprintf(text, sizeof(text), "entry-%05zu", i);
		strbuf_set(&vm->id, str_from_c(text));
		domain_name(text, (int)(i % domains));
		strbuf_set(&vm->domain, str_from_c(text));
		strbuf_set(&vm->region, STR_LIT("region-00"));
		snprintf(text, sizeof(text), "10.%zu.%zu.%zu", i / 65536,
			 i / 256 % 256, i % 256);
		strbuf_set(&vm->address, str_from_c(text));
	}
	return list;
}

static void measure_correction(struct liveness *liveness,
			       const struct vmlist *list)
{
	const struct str self = STR_LIT("entry-00000");
	const struct str domain = STR_LIT("region-00-1");
	apr_time_t began = clk_now(clk_system());
	struct vmlist *corrected = NULL;

	for (int i = 0; i < REPEATS; i++) {
		liveness_observe(liveness, list, self, domain, 0,
				 CLK_SEC(4) + i);
		if (liveness_correct(liveness, list, self, NULL, 0, 1,
				     CLK_SEC(4) + i, &corrected))
			abort();
		vmlist_put(corrected);
	}
	print("correct_list", list->count, since_us(began) / REPEATS, "us");
	began = clk_now(clk_system());
	for (int i = 0; i < REPEATS; i++)
		relay_is(list, domain, self);
	print("pick_relays", list->count, since_us(began) / REPEATS, "us");
}

/* One VM starts to leave: time to apply the list, bytes to forward it. */
static void measure_delta(struct vmlist *list)
{
	struct vmhist_delta delta;
	struct vmlist *next = make_list(list->count, 6);
	table_delta *message;
	apr_time_t began;
	struct vmhist *vmhist;

	list->revision = 1;
	next->revision = 2;
	next->vms[list->count / 2].state = VM_LEAVING;
	if (vmhist_create(&vmhist))
		abort();
	vmlist_get(list);
	vmhist_take(vmhist, list);
	began = clk_now(clk_system());
	vmhist_take(vmhist, next);
	print("take_list", list->count, since_us(began), "us");
	if (vmhist_since(vmhist, 1, &delta))
		abort();
	message = tablemsg_delta_encode(&delta);
	print("list_change_message", list->count,
	      (double)xdr_sizeof((xdrproc_t)xdr_table_delta, message), "bytes");
	xdr_free((xdrproc_t)xdr_table_delta, message);
	free(message);
	vmhist_delta_free(&delta);
	vmhist_destroy(vmhist);
}

static void measure_members(size_t peers)
{
	struct vmlist *list = make_list(peers, 6);
	const size_t before = heap_used();
	struct liveness *liveness;
	apr_time_t began;
	table_list *message;

	if (liveness_create(&liveness, CLK_SEC(3)))
		abort();
	for (size_t i = 0; i < peers; i++)
		liveness_heard(liveness, strbuf_str(&list->vms[i].id), 1);
	print("membership_memory", peers, (double)(heap_used() - before),
	      "bytes");
	message = tablemsg_list_encode(list);
	print("list_message", peers,
	      (double)xdr_sizeof((xdrproc_t)xdr_table_list, message), "bytes");
	xdr_free((xdrproc_t)xdr_table_list, message);
	free(message);
	measure_delta(list);
	began = clk_now(clk_system());
	for (int i = 0; i < REPEATS; i++)
		liveness_heard(liveness,
			       strbuf_str(&list->vms[(size_t)i % peers].id),
			       2 + i);
	print("heartbeat", peers, since_us(began) / REPEATS, "us");
	measure_correction(liveness, list);
	liveness_destroy(liveness);
	vmlist_put(list);
}

/* An exchange in which nothing has changed. */
static void measure_exchange(void)
{
	table_ask ask = {.from = (char *)"entry-00001"};
	table_answer answer = {.status = {.vm = (char *)"entry-00002"}};

	print("exchange_ask", 1,
	      (double)xdr_sizeof((xdrproc_t)xdr_table_ask, &ask), "bytes");
	print("exchange_answer", 1,
	      (double)xdr_sizeof((xdrproc_t)xdr_table_answer, &answer),
	      "bytes");
	print("vote_answer", 1,
	      (double)xdr_sizeof((xdrproc_t)xdr_table_status, &answer.status),
	      "bytes");
}

/* Computed from the default intervals; size is the number of relays. */
static void print_store_calls(const struct settings *set, size_t relays)
{
	const double n = (double)relays;

	print("store_head_reads", relays,
	      n * MS_PER_MINUTE / (double)set->table.head_interval_ms,
	      "calls_per_min");
	print("store_watches", relays,
	      n * MS_PER_MINUTE / (double)set->table.watch_ms, "calls_per_min");
	print("list_reads", relays,
	      n * MS_PER_MINUTE / (double)set->platform.list_interval_ms,
	      "calls_per_min");
	/* Each relay reads the head and one part, and opens a new watch. */
	print("store_calls_of_a_change", relays, 3 * n, "calls");
	/* Four reads, one swap, one deletion of expired records by pstctl. */
	print("store_calls_of_an_edit", relays, 6, "calls");
	print("store_tries_in_an_outage", relays,
	      n * MS_PER_MINUTE / (double)set->table.backoff_max_ms,
	      "calls_per_min");
}

int main(void)
{
	static const size_t services[] = {37, 370, 3700};
	static const size_t peers[] = {24, 240, 2400, 6800};
	static const size_t recent[] = {1, 8, 32};
	static const size_t relays[] = {12, 48, 176};
	struct set_range bad;
	struct settings set = {0};

	if (set_convert(NULL, &set, &bad))
		abort();
	for (size_t i = 0; i < 3; i++)
		measure_table(services[i]);
	for (size_t i = 0; i < 3; i++)
		measure_change(recent[i]);
	for (size_t i = 0; i < sizeof(peers) / sizeof(peers[0]); i++)
		measure_members(peers[i]);
	measure_exchange();
	for (size_t i = 0; i < 3; i++)
		print_store_calls(&set, relays[i]);
	return 0;
}
