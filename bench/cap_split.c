/*
 * Cost of the splits in force: time of a step and of applying a view (the
 * first, an edit of one service, one entry VM fewer), and memory, by number of
 * services; 22 regions, 88 failure domains and 6,800 entry VMs.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent/quota_split.h"
#include "common/clk.h"
#include "common/err.h"

#define REGIONS 22
#define DOMAINS 88
#define VMS	6800

/* Steps that pst-entryd makes in a second. */
#define STEPS_PER_S 40

/* Rows for which this VM has requests. */
#define ROWS_USED 100

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

static char *service_part(int spread)
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
			fprintf(f, "%s\"d%d\":%d", i ? "," : "", i,
				50 + spread * i);
		fputs("},\"region_limits\":{}}", f);
	}
	fputs("]}", f);
	fclose(f);
	return text;
}

static void set_part(struct tbl_part *part, size_t service, int spread)
{
	char *key = NULL;

	if (asprintf(&key, "/pst/table/service/s%zu", service) < 0)
		abort();
	part->key = str_from_c(key);
	part->value = str_from_c(service_part(spread));
}

static struct tbl *make_table(size_t services)
{
	struct tbl_part *parts = calloc(services + 1, sizeof(*parts));
	struct tbl_problem problem;
	struct tbl *tbl = NULL;

	parts[0].key = str_from_c("/pst/table/manifest");
	parts[0].value = str_from_c(manifest(services));
	for (size_t i = 0; i < services; i++)
		set_part(&parts[i + 1], i, 1);
	if (tbl_parse(&tbl, parts, services + 1, 1, &problem))
		abort();
	return tbl;
}

/* The same table after an edit of one service. */
static struct tbl *edit_table(const struct tbl *tbl)
{
	struct tbl_part part;
	struct tbl_problem problem;
	struct tbl *out = NULL;

	set_part(&part, 0, 2);
	if (tbl_apply(&out, tbl, &part, 1, 2, &problem))
		abort();
	return out;
}

/* The first VMs, gone in number, are leaving; the others are live. */
static struct vmlist *make_list(size_t gone)
{
	struct vmlist *vmlist = NULL;

	if (vmlist_create(&vmlist, VMS))
		abort();
	for (size_t i = 0; i < VMS; i++) {
		struct vm *vm = &vmlist->vms[i];
		char name[16];

		vm->kind = VM_ENTRY;
		vm->state = i < gone ? VM_LEAVING : VM_LIVE;
		snprintf(name, sizeof(name), "e%04zu", i);
		strbuf_set(&vm->id, str_from_c(name));
		snprintf(name, sizeof(name), "d%zu", i % DOMAINS);
		strbuf_set(&vm->domain, str_from_c(name));
		snprintf(name, sizeof(name), "r%zu", i % DOMAINS % REGIONS);
		strbuf_set(&vm->region, str_from_c(name));
	}
	return vmlist;
}

static size_t allocated(void)
{
	const struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Times applying a view and the steps of the second after it. */
static apr_time_t measure_view(struct splitter *splitter, apr_time_t now,
			       struct tbl *tbl, struct vmlist *vmlist,
			       const char *what)
{
	const size_t services = tbl->service_count;
	apr_time_t began = clk_now(clk_system());

	if (splitter_set_view(splitter, now, tbl, vmlist))
		abort();
	printf("split,%s,%zu,%.3f,ms\n", what, services,
	       (double)(clk_now(clk_system()) - began) / 1000);
	began = clk_now(clk_system());
	for (int i = 1; i <= STEPS_PER_S; i++)
		splitter_step(splitter, now += CLK_MS(25));
	printf("split,%s_steps_of_1s,%zu,%.3f,ms\n", what, services,
	       (double)(clk_now(clk_system()) - began) / 1000);
	return now;
}

static void use_rows(struct splitter *splitter, apr_time_t now,
		     const struct tbl *tbl, size_t count)
{
	for (size_t i = 0; i < count; i++)
		splitter_pick(splitter, now, tbl, &tbl->rows[i], i << 48, NULL);
}

static void measure(size_t services)
{
	struct tbl *tbl = make_table(services);
	struct tbl *edited = edit_table(tbl);
	struct vmlist *vmlist = make_list(0);
	struct vmlist *fewer = make_list(1);
	const size_t before = allocated();
	apr_time_t now = CLK_SEC(1000);
	struct splitter *splitter = NULL;
	apr_time_t began;

	if (splitter_create(&splitter, STR_LIT("r1")))
		abort();
	now = measure_view(splitter, now, tbl, vmlist, "first_view");
	printf("split,state,%zu,%zu,bytes\n", services, allocated() - before);
	use_rows(splitter, now, tbl, ROWS_USED);
	printf("split,state_%d_rows_used,%zu,%zu,bytes\n", ROWS_USED, services,
	       allocated() - before);
	now = measure_view(splitter, now, edited, vmlist, "edit");
	now = measure_view(splitter, now, edited, fewer, "vm_gone");
	began = clk_now(clk_system());
	for (int i = 1; i <= STEPS_PER_S; i++)
		splitter_step(splitter, now += CLK_MS(25));
	printf("split,step,%zu,%.3f,us\n", services,
	       (double)(clk_now(clk_system()) - began) / STEPS_PER_S);
	splitter_destroy(splitter);
	tbl_put(edited);
	tbl_put(tbl);
	vmlist_put(fewer);
	vmlist_put(vmlist);
}

int main(void)
{
	measure(37);
	measure(370);
	measure(3700);
	return EXIT_SUCCESS;
}
