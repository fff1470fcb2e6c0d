#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/err.h"
#include "policy/vmhist.h"
#include "policy/vmlist.h"
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
	struct vmlist *vmlist = NULL;
	const struct vm *vm;

	ck_assert_int_eq(
		vmlist_parse(&vmlist, STR_LIT(LIST(UPSTREAM "," ENTRY))), 0);
	ck_assert_uint_eq(vmlist->revision, 7);
	ck_assert_uint_eq(vmlist->count, 2);
	ck_assert_str_eq(vmlist->vms[0].id.ptr, "entry-1");
	vm = vmlist_find(vmlist, STR_LIT("status-1"));
	ck_assert_ptr_nonnull(vm);
	ck_assert_int_eq(vm->kind, VM_UPSTREAM);
	ck_assert_int_eq(vm->state, VM_LEAVING);
	ck_assert_uint_eq(vm->port, 9000);
	ck_assert_uint_eq(vm->slots, 4);
	ck_assert_ptr_null(vmlist_find(vmlist, STR_LIT("status-2")));
	ck_assert(vmlist_has_entry_address(vmlist, STR_LIT("127.1.1.1")));
	ck_assert(!vmlist_has_entry_address(vmlist, STR_LIT("127.1.1.101")));
	vmlist_put(vmlist);
}
END_TEST

static const char *const bad_lists[] = {
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
	struct vmlist *vmlist = NULL;

	ck_assert_int_eq(vmlist_parse(&vmlist, str_from_c(bad_lists[_i])),
			 PST_ERR_INVALID);
}
END_TEST

START_TEST(rendezvous_moves_only_what_was_on_the_lost_vm)
{
	struct vmlist *vmlist = fix_vms(4);
	const struct vm *before[2];
	const struct vm *after[2];
	struct vm *lost = &vmlist->vms[5];
	int moved = 0;
	int lost_firsts = 0;
	char key[16];

	for (int i = 0; i < 2000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		lost->state = VM_LIVE;
		ck_assert_uint_eq(vmlist_rendezvous(vmlist, str_from_c(key),
						    STR_LIT(""), before, 2),
				  2);
		lost->state = VM_LEAVING;
		vmlist_rendezvous(vmlist, str_from_c(key), STR_LIT(""), after,
				  2);
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
	vmlist_put(vmlist);
}
END_TEST

START_TEST(rendezvous_keeps_to_the_domain)
{
	struct vmlist *vmlist = fix_vms(3);
	const struct vm *picks[VMLIST_MAX_PICKS];
	const size_t count = vmlist_rendezvous(vmlist, STR_LIT("k"),
					       STR_LIT("astana-2"), picks, 99);

	ck_assert_uint_eq(count, 3);
	for (size_t i = 0; i < count; i++)
		ck_assert_str_eq(picks[i]->domain.ptr, "astana-2");
	ck_assert_uint_eq(vmlist_rendezvous(vmlist, STR_LIT("k"),
					    STR_LIT("none"), picks, 2),
			  0);
	vmlist_put(vmlist);
}
END_TEST

static uint64_t random_state;

static uint64_t next_random(void)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return random_state;
}

/* Returns a changed list: VMs change state and slots, come and go. */
static struct vmlist *change_list(const struct vmlist *old, size_t most)
{
	struct vmlist *list = NULL;
	size_t count = 0;

	ck_assert_int_eq(vmlist_create(&list, most), 0);
	for (size_t i = 0; i < most; i++) {
		struct vm *vm = &list->vms[count];
		const struct vm *old_vm;
		char id[16];

		snprintf(id, sizeof(id), "vm-%03zu", i);
		old_vm = old ? vmlist_find(old, str_from_c(id)) : NULL;
		if (old_vm)
			*vm = *old_vm;
		strbuf_set(&vm->id, str_from_c(id));
		if (next_random() % 16 == 0)
			vm->state = vm->state == VM_LIVE ? VM_LEAVING : VM_LIVE;
		if (next_random() % 16 == 0)
			vm->slots = (uint32_t)(next_random() % 9);
		if (old_vm ? next_random() % 16 : next_random() % 2)
			count++;
	}
	list->count = count;
	list->revision = old ? old->revision + 1 + next_random() % 3 : 5;
	return list;
}

static void check_same(const struct vmlist *a, const struct vmlist *b)
{
	ck_assert_uint_eq(a->revision, b->revision);
	ck_assert_uint_eq(a->count, b->count);
	for (size_t i = 0; i < a->count; i++) {
		ck_assert(strbuf_eq(&a->vms[i].id, &b->vms[i].id));
		ck_assert(vm_equal(&a->vms[i], &b->vms[i]));
	}
}

/* Applies changes that only from has. Returns the VMs in the delta. */
static size_t apply_newer(struct vmhist *to, const struct vmhist *from)
{
	const struct vmlist *held = vmhist_list(to);
	struct vmhist_delta delta;
	struct vmlist *list = NULL;
	size_t sent;

	if (vmhist_since(from, held ? held->revision : 0, &delta))
		return 0;
	sent = delta.vm_count;
	ck_assert_int_eq(vmhist_patch(to, &delta, &list), 0);
	vmhist_delta_free(&delta);
	ck_assert(vmhist_take(to, list));
	return sent;
}

/* Three processes read the platform's list or each other's in random order. */
START_TEST(deltas_lead_to_the_same_list)
{
	struct vmhist *lsds[3];
	struct vmlist *platform = NULL;

	random_state = 0x9e3779b97f4a7c15U + (uint64_t)_i;
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(vmhist_create(&lsds[i]), 0);
	for (int round = 0; round < 300; round++) {
		struct vmlist *next = change_list(platform, 40);
		struct vmhist *a = lsds[next_random() % 3];
		struct vmhist *b = lsds[next_random() % 3];

		vmlist_put(platform);
		platform = next;
		vmlist_get(platform);
		vmhist_take(a, platform);
		if (a == b)
			continue;
		apply_newer(b, a);
		check_same(vmhist_list(a), vmhist_list(b));
		check_same(vmhist_list(a), platform);
	}
	for (int i = 0; i < 3; i++)
		vmhist_destroy(lsds[i]);
	vmlist_put(platform);
}
END_TEST

START_TEST(delta_is_small_or_whole_and_rejected_when_old)
{
	struct vmlist *first = fix_vms(4);
	struct vmlist *second = fix_vms(4);
	struct vmhist_delta delta;
	struct vmlist *list;
	struct vmhist *a;
	struct vmhist *b;

	ck_assert_int_eq(vmhist_create(&a), 0);
	ck_assert_int_eq(vmhist_create(&b), 0);
	vmlist_get(first);
	vmhist_take(a, first);
	vmhist_take(b, first);
	second->revision = 8;
	second->vms[3].state = VM_LEAVING;
	vmhist_take(a, second);
	ck_assert_int_eq(vmhist_since(a, 7, &delta), 0);
	ck_assert_uint_eq(delta.vm_count, 1);
	ck_assert_uint_eq(delta.previous, 7);
	/* Not newer than the list held, or based on one that is not held. */
	ck_assert_int_eq(vmhist_patch(a, &delta, &list), PST_ERR_STALE);
	delta.previous = 9;
	delta.revision = 10;
	ck_assert_int_eq(vmhist_patch(b, &delta, &list), PST_ERR_STALE);
	vmhist_delta_free(&delta);
	/* The whole list, for a revision older than this process's first. */
	ck_assert_int_eq(vmhist_since(a, 6, &delta), 0);
	ck_assert_uint_eq(delta.previous, 0);
	ck_assert_uint_eq(delta.vm_count, 24);
	vmhist_delta_free(&delta);
	ck_assert_int_eq(vmhist_since(a, 8, &delta), PST_ERR_AGAIN);
	vmhist_destroy(a);
	vmhist_destroy(b);
}
END_TEST

static struct vmlist *make_list(uint64_t revision)
{
	struct vmlist *list = NULL;

	ck_assert_int_eq(vmlist_create(&list, revision % 3), 0);
	for (size_t i = 0; i < list->count; i++)
		strbuf_set(&list->vms[i].id, i ? STR_LIT("b") : STR_LIT("a"));
	list->revision = revision;
	return list;
}

START_TEST(older_list_of_a_restored_platform_is_taken_after_a_while)
{
	const apr_time_t step = VMHIST_RESTORE_SETTLE / 10;
	struct vmhist *reader;
	struct vmhist *peer;
	apr_time_t now = 1;

	ck_assert_int_eq(vmhist_create(&reader), 0);
	ck_assert_int_eq(vmhist_create(&peer), 0);
	ck_assert_int_eq(vmhist_read(reader, make_list(8), now),
			 VMHIST_READ_NEWER);
	ck_assert_uint_eq(apply_newer(peer, reader), 2);
	/* Older answers among newer ones come from a lagging replica. */
	for (int i = 0; i < 30; i++, now += step)
		ck_assert_int_eq(
			vmhist_read(reader, make_list(i % 3 ? 4 : 8), now),
			i % 3 == 0   ? VMHIST_READ_SAME
			: i % 3 == 1 ? VMHIST_READ_OLDER
				     : VMHIST_READ_WAITING);
	ck_assert_int_eq(vmhist_read(reader, make_list(8), now),
			 VMHIST_READ_SAME);
	for (int i = 0; i < 10; i++, now += step)
		ck_assert_int_eq(vmhist_read(reader, make_list(4), now),
				 i ? VMHIST_READ_WAITING : VMHIST_READ_OLDER);
	ck_assert_int_eq(vmhist_read(reader, make_list(3), now),
			 VMHIST_READ_WAITING);
	ck_assert_int_eq(vmhist_read(reader, make_list(4), now),
			 VMHIST_READ_RESTORED);
	ck_assert_int_eq(vmhist_read(reader, make_list(4), now),
			 VMHIST_READ_SAME);
	ck_assert_uint_eq(vmhist_list(reader)->count, 1);
	/* The delta removes one VM and changes none. */
	ck_assert_uint_eq(apply_newer(peer, reader), 0);
	ck_assert_uint_eq(vmhist_list(peer)->count, 1);
	/* Both take newer lists again. */
	ck_assert_int_eq(vmhist_read(peer, make_list(5), now),
			 VMHIST_READ_NEWER);
	ck_assert_uint_gt(apply_newer(reader, peer), 0);
	ck_assert_uint_eq(vmhist_list(reader)->count, 2);
	vmhist_destroy(reader);
	vmhist_destroy(peer);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("vml");

	tcase_add_test(tc, list_is_decoded_and_ordered);
	tcase_add_loop_test(tc, malformed_list_is_refused, 0,
			    (int)(sizeof(bad_lists) / sizeof(bad_lists[0])));
	tcase_add_test(tc, rendezvous_moves_only_what_was_on_the_lost_vm);
	tcase_add_test(tc, rendezvous_keeps_to_the_domain);
	tcase_add_loop_test(tc, deltas_lead_to_the_same_list, 0, 20);
	tcase_add_test(tc, delta_is_small_or_whole_and_rejected_when_old);
	tcase_add_test(
		tc, older_list_of_a_restored_platform_is_taken_after_a_while);
	return fix_run("vml", tc);
}
