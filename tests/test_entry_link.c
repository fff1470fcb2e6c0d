/* Requests to another region: limits of links, and the proxy. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "entryd/xfer.h"
#include "tests/fix_entry.h"
#include "tests/fix_run.h"
#include "tests/fix_upstream.h"
#include "tests/stub_agents.h"

/* Maximum excess of the estimate of a request's head, in bytes. */
#define HEAD_ESTIMATE_MARGIN 128

/*
 * Checks that the bytes taken from the link's limit match the bodies and both
 * heads of one exchange, as counted by the upstream.
 */
static void check_link_bytes(uint64_t bodies)
{
	const uint64_t sent = bodies + atomic_exchange(&fix_upstream_heads, 0);

	/* What is unused is returned soon after the request has ended. */
	for (int i = 0; i < 500 && stub_taken > sent + HEAD_ESTIMATE_MARGIN;
	     i++)
		usleep(10000);
	ck_assert_uint_ge(stub_taken, sent);
	ck_assert_uint_le(stub_taken, sent + HEAD_ESTIMATE_MARGIN);
	atomic_store(&stub_taken, 0);
}

START_TEST(small_share_of_a_link_slows_but_does_not_stop)
{
	struct fix_caller c;

	stub_remote = 1;
	atomic_store(&fix_upstream_heads, 0);
	c = fix_entry_call("GET", "/s/svc/ok", NULL, 0, false);
	ck_assert_int_eq(c.status, 200);
	fix_entry_wait_idle();
	/* Every byte taken was sent or returned. */
	check_link_bytes(5);
	c = fix_entry_call("GET", "/s/svc/big", NULL, 0, false);
	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_uint_eq(c.bytes, FIX_BIG_BYTES);
	fix_entry_wait_idle();
	check_link_bytes(FIX_BIG_BYTES);
	c = fix_entry_call("POST", "/s/svc/length", NULL, 500000, false);
	ck_assert_str_eq(c.text, "500000");
	fix_entry_wait_idle();
	check_link_bytes(500000 + 6);
	stub_remote = 0;
}
END_TEST

START_TEST(link_without_room_ends_a_request_after_its_deadline)
{
	struct fix_caller c;

	stub_remote = 1;
	stub_link_piece = 0;
	c = fix_entry_call("POST", "/s/svc/length", "X-Deadline-Ms: 200",
			   500000, false);
	stub_link_piece = 5000;
	stub_remote = 0;
	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	fix_entry_wait_idle();
}
END_TEST

/*
 * A request that got its permit late and was not sent by its deadline must end
 * as not run, so that another entry VM can still run it.
 */
START_TEST(request_not_started_by_its_deadline_is_ended)
{
	const apr_time_t now = clk_now(clk_system());
	struct xfer x = {.throttled = true, .last_byte_at = now};

	ck_assert_int_eq(req_create(&x.req, 1), 0);
	x.req->deadline_ms = 200;
	x.req->arrived = now - CLK_MS(199);
	ck_assert(!xfer_starved(&x, now));
	ck_assert(xfer_starved(&x, now + CLK_MS(2)));
	x.started = true;
	ck_assert(!xfer_starved(&x, now + CLK_MS(200)));
	ck_assert(xfer_starved(&x, now + CLK_MS(201)));
	req_put(x.req);
}
END_TEST

START_TEST(refusal_by_the_proxy_is_reported_as_not_run)
{
	static char text[64];
	struct str proxy;
	struct fix_caller c;

	snprintf(text, sizeof(text), "r2=%s:%d", fix_ip().ptr,
		 FIX_ENTRY_UPSTREAM_PORT);
	proxy = str_from_c(text);
	fix_entry_set.net.proxies = &proxy;
	fix_entry_set.net.proxies_count = 1;
	stub_remote = 1;
	c = fix_entry_call("POST", "/s/svc/ok", "Idempotency-Key: k4", 0,
			   false);
	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	fix_entry_wait_idle();
	fix_entry_set.net.proxies_count = 0;
	stub_remote = 0;
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry_link");

	tcase_add_test(tc, small_share_of_a_link_slows_but_does_not_stop);
	tcase_add_test(tc, link_without_room_ends_a_request_after_its_deadline);
	tcase_add_test(tc, request_not_started_by_its_deadline_is_ended);
	tcase_add_test(tc, refusal_by_the_proxy_is_reported_as_not_run);
	return fix_entry_run("entry_link", tc);
}
