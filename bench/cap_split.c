/*
 * Capacity of the splits in force: time of a step and of taking over a view,
 * and memory, by services; 22 regions and 88 failure domains.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent/quota_split.h"
#include "common/clk.h"
#include "common/err.h"

#define REGIONS 22
#define DOMAINS 88
#define STEPS	20

/* Steps that pst-entryd makes in a second. */
#define STEPS_PER_S 40

static char *manifest(size_t services)
{
	char *text = NULL;
	size_t len;
	FILE *f = open_memstream(&text, &len);

	fputs("{\"regions\":[", f);
	for (int i = 0; i < REGIONS; i++)
		fprintf(f, "%s\"r%d\"", i ? "," : "", i);
	fputs("],\"domains\":[", f);
	for (int i = 0; i < DOMAINS; i++)
		fprintf(f, "%s{\"name\":\"d%d\",\"region\":\"r%d\"}",
			i ? "," : "", i, i % REGIONS);
	fputs("],\"links\":[],\"services\":[", f);
	for (size_t i = 0; i < services; i++)
		fprintf(f, "%s\"s%zu\"", i ? "," : "", i);
	fputs("]}", f);
	fclose(f);
	return text;
}

static char *service_part(void)
{
	static const char *const ranks[] = {"urgent", "normal", "bulk"};
	char *text = NULL;
	size_t len;
	FILE *f = open_memstream(&text, &len);

	fputs("{\"rows\":[", f);
	for (int r = 0; r < RANK_COUNT; r++) {
		fprintf(f,
			"%s{\"rank\":\"%s\",\"deadline_ms\":1000,"
			"\"reserved_pct\":20,\"shift_cap_pct_per_s\":10,"
			"\"weights\":{",
			r ? "," : "", ranks[r]);
		for (int i = 0; i < DOMAINS; i++)
			fprintf(f, "%s\"d%d\":%d", i ? "," : "", i, 50 + i);
		fputs("},\"region_limits\":{}}", f);
	}
	fputs("]}", f);
	fclose(f);
	return text;
}

static struct tbl *make_table(size_t services)
{
	struct tbl_part *parts = calloc(services + 1, sizeof(*parts));
	struct tbl_problem problem;
	struct tbl *tbl = NULL;

	parts[0].key = str_from_c("/pst/table/manifest");
	parts[0].value = str_from_c(manifest(services));
	for (size_t i = 0; i < services; i++) {
		char *key = NULL;

		if (asprintf(&key, "/pst/table/service/s%zu", i) < 0)
			abort();
		parts[i + 1].key = str_from_c(key);
		parts[i + 1].value = str_from_c(service_part());
	}
	if (tbl_parse(&tbl, parts, services + 1, 1, &problem))
		abort();
	return tbl;
}

static struct vml *make_list(void)
{
	struct vml *vml = NULL;

	if (vml_create(&vml, DOMAINS))
		abort();
	for (int i = 0; i < DOMAINS; i++) {
		struct vm *vm = &vml->vms[i];
		char name[16];

		vm->kind = VM_ENTRY;
		snprintf(name, sizeof(name), "e%02d", i);
		strbuf_set(&vm->id, str_from_c(name));
		snprintf(name, sizeof(name), "d%d", i);
		strbuf_set(&vm->domain, str_from_c(name));
		snprintf(name, sizeof(name), "r%d", i % REGIONS);
		strbuf_set(&vm->region, str_from_c(name));
	}
	return vml;
}

static void measure(size_t services)
{
	struct tbl *tbl = make_table(services);
	struct vml *vml = make_list();
	struct qs *qs = NULL;
	const size_t before = mallinfo2().uordblks;
	apr_time_t began = clk_now(clk_system());
	double us;

	if (qs_create(&qs, STR_LIT("r0")) || qs_set_view(qs, began, tbl, vml))
		abort();
	printf("split,take_over_view,%zu,%.3f,ms\n", services,
	       (double)(clk_now(clk_system()) - began) / 1000);
	printf("split,state,%zu,%zu,bytes\n", services,
	       mallinfo2().uordblks - before);
	began = clk_now(clk_system());
	for (int i = 1; i <= STEPS; i++)
		qs_step(qs, began + i * CLK_MS(50));
	us = (double)(clk_now(clk_system()) - began) / STEPS;
	printf("split,step,%zu,%.3f,us\n", services, us);
	printf("split,cpu,%zu,%.3f,percent_of_core\n", services,
	       us * STEPS_PER_S / 10000);
	qs_destroy(qs);
	tbl_put(tbl);
	vml_put(vml);
}

int main(void)
{
	measure(37);
	measure(370);
	measure(3700);
	return EXIT_SUCCESS;
}
