#include <check.h>
#include <stdio.h>

#include "controld/broker_client.h"
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
	struct broker_clients clients;
	struct broker_client **link;
	char buffer[32];

	ck_assert_int_eq(broker_clients_init(&clients), 0);
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_ptr_nonnull(broker_client_add(
			&clients, name_of(buffer, sizeof(buffer), i), i));
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_int_eq(
			broker_client_find(&clients,
					   name_of(buffer, sizeof(buffer), i))
				->heard_at,
			i);
	link = &clients.first;
	while (*link) {
		if ((*link)->heard_at % 2)
			broker_client_drop(&clients, link);
		else
			link = &(*link)->next;
	}
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_int_eq(
			broker_client_find(
				&clients, name_of(buffer, sizeof(buffer), i)) ==
				NULL,
			i % 2);
	broker_clients_done(&clients);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_client");

	tcase_add_test(tc, each_entry_vm_is_found_until_it_is_dropped);
	return fix_run("brk_client", tc);
}
