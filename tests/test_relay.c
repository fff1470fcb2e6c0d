#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "policy/relay.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

START_TEST(each_domain_has_two_relays)
{
	static const char *const domains[] = {"almaty-1", "almaty-2",
					      "astana-1", "astana-2",
					      "aktobe-1", "aktobe-2"};
	struct vmlist *vmlist = fix_vms(4);

	for (size_t d = 0; d < 6; d++) {
		const struct str domain = str_from_c(domains[d]);
		const struct vm *relays[RELAY_PER_DOMAIN];
		int count = 0;

		ck_assert_uint_eq(relay_pick(vmlist, domain, relays), 2);
		ck_assert_str_eq(relays[0]->domain.ptr, domains[d]);
		for (size_t i = 0; i < vmlist->count; i++)
			count += relay_is(vmlist, domain,
					  strbuf_str(&vmlist->vms[i].id));
		ck_assert_int_eq(count, 2);
	}
	vmlist_put(vmlist);
}
END_TEST

START_TEST(next_candidate_replaces_a_leaving_relay)
{
	struct vmlist *vmlist = fix_vms(4);
	const struct str domain = STR_LIT("astana-1");
	const struct vm *before[RELAY_PER_DOMAIN];
	const struct vm *after[RELAY_PER_DOMAIN];

	relay_pick(vmlist, domain, before);
	((struct vm *)before[0])->state = VM_LEAVING;
	ck_assert_uint_eq(relay_pick(vmlist, domain, after), 2);
	ck_assert_ptr_eq(after[0], before[1]);
	ck_assert(!relay_is(vmlist, domain, strbuf_str(&before[0]->id)));
	vmlist_put(vmlist);
}
END_TEST

START_TEST(small_domain_has_fewer_relays)
{
	struct vmlist *vmlist = fix_vms(1);
	const struct vm *relays[RELAY_PER_DOMAIN];

	ck_assert_uint_eq(relay_pick(vmlist, STR_LIT("aktobe-2"), relays), 1);
	ck_assert_uint_eq(relay_pick(vmlist, STR_LIT("nowhere"), relays), 0);
	vmlist_put(vmlist);
}
END_TEST

/* In domains of 1 to 99 VMs, each gets a change once, with bounded sends. */
START_TEST(tree_reaches_each_vm_once)
{
	struct vmlist *vmlist = fix_vms(_i);
	const struct str domain = STR_LIT("aktobe-1");
	const struct vm *children[RELAY_CHILDREN_MAX];
	size_t received[1024] = {0};

	for (size_t i = 0; i < vmlist->count; i++) {
		const size_t count = relay_children(
			vmlist, domain, strbuf_str(&vmlist->vms[i].id),
			children);

		ck_assert_uint_le(count, RELAY_CHILDREN_MAX);
		for (size_t c = 0; c < count; c++)
			received[children[c] - vmlist->vms]++;
	}
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		const bool member = str_eq(strbuf_str(&vm->domain), domain);

		/* The only VM of a domain gets changes from the store alone. */
		ck_assert_uint_eq(received[i], member && _i > 1);
	}
	vmlist_put(vmlist);
}
END_TEST

/* Passes a change on from domain to domain; returns how many it reached. */
static int count_reached(const struct vmlist *vmlist, const char *root)
{
	struct str queue[64] = {str_from_c(root)};
	int count = 1;

	for (int i = 0; i < count; i++) {
		const struct vm *out[RELAY_DOMAIN_CHILDREN_MAX];
		const size_t picked =
			relay_domain_children(vmlist, queue[0], queue[i], out);

		for (size_t j = 0; j < picked; j++) {
			const struct str next = strbuf_str(&out[j]->domain);

			if (!str_eq(next, queue[count - 1]))
				queue[count++] = next;
		}
		ck_assert_int_lt(count, 64);
	}
	return count;
}

START_TEST(tree_over_domains_reaches_each_once)
{
	struct vmlist *vmlist = fix_vms(4);
	struct vmlist *many = NULL;

	ck_assert_int_eq(count_reached(vmlist, "aktobe-1"), 6);
	ck_assert_int_eq(count_reached(vmlist, "almaty-2"), 6);
	vmlist_put(vmlist);
	ck_assert_int_eq(vmlist_create(&many, 50), 0);
	for (size_t i = 0; i < 50; i++) {
		char name[16];

		snprintf(name, sizeof(name), "d%zu", i + 10);
		strbuf_set(&many->vms[i].id, str_from_c(name));
		strbuf_set(&many->vms[i].domain, str_from_c(name));
	}
	vmlist_sort(many);
	ck_assert_int_eq(count_reached(many, "d37"), 50);
	ck_assert_int_eq(count_reached(many, "d10"), 50);
	vmlist_put(many);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("relay");

	tcase_add_test(tc, each_domain_has_two_relays);
	tcase_add_test(tc, next_candidate_replaces_a_leaving_relay);
	tcase_add_test(tc, small_domain_has_fewer_relays);
	tcase_add_loop_test(tc, tree_reaches_each_vm_once, 1, 100);
	tcase_add_test(tc, tree_over_domains_reaches_each_once);
	return fix_run("relay", tc);
}
