#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/err.h"
#include "policy/vml.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define UPSTREAM                                                            \
	"{\"id\":\"status-1\",\"kind\":\"upstream\",\"state\":\"leaving\"," \
	"\"region\":\"almaty\",\"failure_domain\":\"almaty-1\","            \
	"\"address\":\"127.1.1.101\",\"port\":9000,\"service\":\"status\"," \
	"\"slots\":4}"
#define ENTRY                                                        \
	"{\"id\":\"entry-1\",\"kind\":\"entry\",\"state\":\"live\"," \
	"\"region\":\"almaty\",\"failure_domain\":\"almaty-1\","     \
	"\"address\":\"127.1.1.1\"}"
#define LIST(vms) "{\"revision\":7,\"vms\":[" vms "]}"

START_TEST(list_is_decoded_and_ordered)
{
	struct vml *vml = NULL;
	const struct vm *vm;

	ck_assert_int_eq(vml_parse(&vml, STR_LIT(LIST(UPSTREAM "," ENTRY))), 0);
	ck_assert_uint_eq(vml->revision, 7);
	ck_assert_uint_eq(vml->count, 2);
	ck_assert_str_eq(vml->vms[0].id.ptr, "entry-1");
	vm = vml_find(vml, STR_LIT("status-1"));
	ck_assert_ptr_nonnull(vm);
	ck_assert_int_eq(vm->kind, VM_UPSTREAM);
	ck_assert_int_eq(vm->state, VM_LEAVING);
	ck_assert_uint_eq(vm->port, 9000);
	ck_assert_uint_eq(vm->slots, 4);
	ck_assert_ptr_null(vml_find(vml, STR_LIT("status-2")));
	ck_assert(vml_has_entry_address(vml, STR_LIT("127.1.1.1")));
	ck_assert(!vml_has_entry_address(vml, STR_LIT("127.1.1.101")));
	vml_put(vml);
}
END_TEST

static const char *const bads[] = {
	"",
	"[]",
	"{\"vms\":[]}",
	"{\"revision\":-1,\"vms\":[]}",
	"{\"revision\":7}",
	"{\"revision\":7,\"vms\":{}}",
	LIST("7"),
	LIST(ENTRY "," ENTRY),
	LIST("{\"id\":\"\",\"kind\":\"entry\"}"),
	LIST("{\"id\":\"e\",\"kind\":\"router\",\"state\":\"live\"}"),
	LIST("{\"id\":\"e\",\"kind\":\"entry\",\"state\":\"gone\"}"),
	LIST("{\"id\":\"e\",\"kind\":\"entry\",\"state\":\"live\",\"region\":"
	     "\"r\",\"failure_domain\":\"d\",\"address\":\"host.example\"}"),
	LIST("{\"id\":\"e\",\"kind\":\"upstream\",\"state\":\"live\","
	     "\"region\":\"r\",\"failure_domain\":\"d\",\"address\":"
	     "\"127.0.0.1\",\"service\":\"s\",\"port\":65536,\"slots\":1}"),
};

START_TEST(malformed_list_is_refused)
{
	struct vml *vml = NULL;

	ck_assert_int_eq(vml_parse(&vml, str_from_c(bads[_i])),
			 PST_ERR_INVALID);
}
END_TEST

static struct vml *fleet(int per_domain)
{
	char *text = fix_vm_list(per_domain);
	struct vml *vml = NULL;

	ck_assert_int_eq(vml_parse(&vml, str_from_c(text)), 0);
	free(text);
	return vml;
}

START_TEST(rendezvous_moves_only_what_was_on_the_lost_vm)
{
	struct vml *vml = fleet(4);
	const struct vm *before[2];
	const struct vm *after[2];
	struct vm *lost = &vml->vms[5];
	int moved = 0;
	int lost_firsts = 0;
	char key[16];

	for (int i = 0; i < 2000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		lost->state = VM_LIVE;
		ck_assert_uint_eq(vml_rendezvous(vml, str_from_c(key),
						 STR_LIT(""), before, 2),
				  2);
		lost->state = VM_LEAVING;
		vml_rendezvous(vml, str_from_c(key), STR_LIT(""), after, 2);
		ck_assert_ptr_ne(after[0], lost);
		moved += before[0] != after[0];
		lost_firsts += before[0] == lost;
		if (before[0] == lost)
			ck_assert_ptr_eq(after[0], before[1]);
	}
	ck_assert_int_eq(moved, lost_firsts);
	/* 2000 keys over 24 VMs: 83 each. */
	ck_assert_int_gt(moved, 40);
	ck_assert_int_lt(moved, 160);
	vml_put(vml);
}
END_TEST

START_TEST(rendezvous_keeps_to_the_domain)
{
	struct vml *vml = fleet(3);
	const struct vm *picks[VML_MAX_PICKS];
	const size_t count = vml_rendezvous(vml, STR_LIT("k"),
					    STR_LIT("astana-2"), picks, 99);

	ck_assert_uint_eq(count, 3);
	for (size_t i = 0; i < count; i++)
		ck_assert_str_eq(picks[i]->domain.ptr, "astana-2");
	ck_assert_uint_eq(
		vml_rendezvous(vml, STR_LIT("k"), STR_LIT("none"), picks, 2),
		0);
	vml_put(vml);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("vml");

	tcase_add_test(tc, list_is_decoded_and_ordered);
	tcase_add_loop_test(tc, malformed_list_is_refused, 0,
			    (int)(sizeof(bads) / sizeof(bads[0])));
	tcase_add_test(tc, rendezvous_moves_only_what_was_on_the_lost_vm);
	tcase_add_test(tc, rendezvous_keeps_to_the_domain);
	return fix_run("vml", tc);
}
