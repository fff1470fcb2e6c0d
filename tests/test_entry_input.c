/* Malformed, oversized and slow input of callers. */
#include <string.h>

#include "tests/fix_entry.h"
#include "tests/fix_run.h"

START_TEST(malformed_requests_get_their_own_answer)
{
	struct fix_caller c = fix_entry_call("GET", "/nowhere", NULL, 0, false);

	ck_assert_int_eq(c.status, 404);
	c = fix_entry_call("GET", "/s/other/ok", NULL, 0, false);
	ck_assert_int_eq(c.status, 404);
	c = fix_entry_call("GET", "/s/svc/ok", "Priority: u=9", 0, false);
	ck_assert_int_eq(c.status, 400);
	ck_assert_ptr_null(strstr(c.text, "\"request_id\":\"\""));
	c = fix_entry_call("POST", "/s/svc/ok", "Idempotency-Key: a b", 0,
			   false);
	ck_assert_int_eq(c.status, 400);
	c = fix_entry_call("POST", "/s/svc/length", NULL, 20000000, false);
	ck_assert_int_eq(c.status, 413);
	c = fix_entry_call("POST", "/v1/tickets?count=2", NULL, 0, false);
	ck_assert_str_eq(c.text, "{\"tickets\":[\"t0\",\"t1\"]}");
	c = fix_entry_call("POST", "/v1/tickets?count=0", NULL, 0, false);
	ck_assert_int_eq(c.status, 400);
	fix_entry_wait_idle();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry_input");

	tcase_add_test(tc, malformed_requests_get_their_own_answer);
	return fix_entry_run("entry_input", tc);
}
