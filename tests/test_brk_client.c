#include <check.h>
#include <stdio.h>

#include "controld/brk_client.h"
#include "tests/fix_run.h"

/* Number of entry VMs in the capacity goal. */
#define ENTRIES 6800

static struct str name_of(char *buffer, size_t size, int number)
{
	snprintf(buffer, size, "entry-%d", number);
	return str_from_c(buffer);
}

START_TEST(each_entry_vm_is_found_until_it_is_dropped)
{
	struct brk_clients clients;
	struct brk_client **link;
	char buffer[32];

	ck_assert_int_eq(brk_clients_init(&clients), 0);
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_ptr_nonnull(brk_client_add(
			&clients, name_of(buffer, sizeof(buffer), i), i));
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_int_eq(
			brk_client_find(&clients,
					name_of(buffer, sizeof(buffer), i))
				->heard_at,
			i);
	link = &clients.first;
	while (*link) {
		if ((*link)->heard_at % 2)
			brk_client_drop(&clients, link);
		else
			link = &(*link)->next;
	}
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_int_eq(brk_client_find(&clients,
						 name_of(buffer, sizeof(buffer),
							 i)) == NULL,
				 i % 2);
	brk_clients_done(&clients);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_client");

	tcase_add_test(tc, each_entry_vm_is_found_until_it_is_dropped);
	return fix_run("brk_client", tc);
}
