#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common/err.h"
#include "policy/entrymap.h"
#include "tests/fix_limits.h"
#include "tests/fix_run.h"

#define BLOCKS 160000

static const struct entrymap_conf conf = {
	.region = {.ptr = "r1", .len = 2},
	.entry_port = 8080,
	.ttl_ms = 5000,
};

static struct entrymap *build(struct vmlist *vmlist)
{
	struct tbl *tbl = fix_tbl(3, 2, 100, 0, 1);
	struct entrymap *entrymap = NULL;

	ck_assert_int_eq(entrymap_build(&entrymap, vmlist, tbl, &conf), 0);
	tbl_put(tbl);
	return entrymap;
}

static size_t pick(const struct entrymap *entrymap, size_t block,
		   uint32_t out[ENTRYMAP_CHOICES])
{
	char text[32];
	const int len = snprintf(text, sizeof(text), "10.%zu.%zu.0/24",
				 block / 256, block % 256);

	return entrymap_pick(
		entrymap, (struct str){.ptr = text, .len = (size_t)len}, out);
}

START_TEST(three_domains_own_region_first)
{
	struct vmlist *vmlist = fix_vml(3, 2, 4);
	struct entrymap *entrymap = build(vmlist);

	for (size_t b = 0; b < 2000; b++) {
		uint32_t p[ENTRYMAP_CHOICES];

		ck_assert_uint_eq(pick(entrymap, b, p), 3);
		ck_assert(str_eq(strbuf_str(&vmlist->vms[p[0]].region),
				 conf.region));
		ck_assert(str_eq(strbuf_str(&vmlist->vms[p[1]].region),
				 conf.region));
		ck_assert(!str_eq(strbuf_str(&vmlist->vms[p[2]].region),
				  conf.region));
		ck_assert(!strbuf_eq(&vmlist->vms[p[0]].domain,
				     &vmlist->vms[p[1]].domain));
	}
	entrymap_put(entrymap);
	vmlist_put(vmlist);
}
END_TEST

/* Every VM of the region is first for an equal part of the blocks, +-10%. */
START_TEST(blocks_spread_evenly)
{
	struct vmlist *vmlist = fix_vml(3, 2, 4);
	struct entrymap *entrymap = build(vmlist);
	size_t first[24] = {0};

	for (size_t b = 0; b < BLOCKS; b++) {
		uint32_t p[ENTRYMAP_CHOICES];

		pick(entrymap, b, p);
		first[p[0]]++;
	}
	for (size_t i = 8; i < 16; i++) {
		ck_assert_uint_ge(first[i], BLOCKS / 8 * 9 / 10);
		ck_assert_uint_le(first[i], BLOCKS / 8 * 11 / 10);
	}
	entrymap_put(entrymap);
	vmlist_put(vmlist);
}
END_TEST

/* A leaving VM is no longer returned; blocks of other VMs don't move. */
START_TEST(a_leaving_vm_moves_only_its_blocks)
{
	struct vmlist *vmlist = fix_vml(3, 2, 4);
	struct tbl *tbl = fix_tbl(3, 2, 100, 0, 1);
	struct entrymap *before = build(vmlist);
	struct entrymap *after;
	uint64_t digest;
	size_t moved = 0;

	digest = entrymap_digest(vmlist, tbl);
	vmlist->revision++;
	ck_assert_uint_eq(entrymap_digest(vmlist, tbl), digest);
	vmlist->vms[9].state = VM_LEAVING;
	ck_assert_uint_ne(entrymap_digest(vmlist, tbl), digest);
	after = build(vmlist);
	for (size_t b = 0; b < 20000; b++) {
		uint32_t p[ENTRYMAP_CHOICES];
		uint32_t q[ENTRYMAP_CHOICES];

		pick(before, b, p);
		pick(after, b, q);
		for (size_t i = 0; i < 3; i++) {
			/* Positions count live VMs only. */
			const uint32_t now = q[i] >= 9 ? q[i] + 1 : q[i];

			ck_assert_uint_ne(now, 9);
			moved += i == 0 && now != p[0];
		}
	}
	/* That VM was first for an eighth; weights of domains change a bit. */
	ck_assert_uint_le(moved, 5000);
	entrymap_put(before);
	entrymap_put(after);
	tbl_put(tbl);
	vmlist_put(vmlist);
}
END_TEST

START_TEST(answers_are_json_as_documented)
{
	struct vmlist *vmlist = fix_vml(3, 2, 4);
	struct entrymap *entrymap = build(vmlist);
	char text[ENTRYMAP_ANSWER_MAX];
	size_t len = 0;
	json_t *json;

	ck_assert_int_eq(entrymap_answer(entrymap, STR_LIT("status"),
					 STR_LIT("b"), text, &len),
			 0);
	ck_assert_uint_eq(strlen(text), len);
	json = json_loads(text, 0, NULL);
	ck_assert_str_eq(json_string_value(json_object_get(json, "service")),
			 "status");
	ck_assert_int_eq(json_integer_value(json_object_get(json, "ttl_ms")),
			 5000);
	ck_assert_uint_eq(json_array_size(json_object_get(json, "entries")), 3);
	json_decref(json);
	ck_assert_int_eq(entrymap_answer(entrymap, STR_LIT("other"),
					 STR_LIT("b"), text, &len),
			 PST_ERR_NOTFOUND);
	entrymap_put(entrymap);
	vmlist_put(vmlist);
}
END_TEST

START_TEST(small_fleets_still_answer)
{
	struct vmlist *one = fix_vml(1, 1, 1);
	struct vmlist *none = fix_vml(1, 1, 1);
	struct entrymap *entrymap = build(one);
	char text[ENTRYMAP_ANSWER_MAX];
	uint32_t p[ENTRYMAP_CHOICES];
	size_t len;

	ck_assert_uint_eq(pick(entrymap, 1, p), 1);
	entrymap_put(entrymap);
	none->vms[0].state = VM_LEAVING;
	entrymap = build(none);
	ck_assert_uint_eq(pick(entrymap, 1, p), 0);
	ck_assert_int_eq(entrymap_answer(entrymap, STR_LIT("status"),
					 STR_LIT("b"), text, &len),
			 PST_ERR_UNAVAILABLE);
	entrymap_put(entrymap);
	vmlist_put(one);
	vmlist_put(none);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lkp");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, three_domains_own_region_first);
	tcase_add_test(tc, blocks_spread_evenly);
	tcase_add_test(tc, a_leaving_vm_moves_only_its_blocks);
	tcase_add_test(tc, answers_are_json_as_documented);
	tcase_add_test(tc, small_fleets_still_answer);
	return fix_run("lkp", tc);
}
