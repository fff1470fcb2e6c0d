/* The entry forwards requests and answers unchanged and complete. */
#include <stdio.h>
#include <string.h>

#include "tests/fix_entry.h"
#include "tests/fix_run.h"
#include "tests/fix_upstream.h"
#include "tests/stub_agents.h"

START_TEST(answer_is_forwarded_unchanged)
{
	const struct fix_caller c =
		fix_entry_call("GET", "/s/svc/ok", NULL, 0, false);

	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_int_eq(c.status, 200);
	ck_assert_str_eq(c.text, "hello");
	fix_entry_wait_idle();
	ck_assert_uint_eq(stub_reported_load, 250);
}
END_TEST

START_TEST(large_answer_is_forwarded_through_a_small_buffer)
{
	const struct fix_caller c =
		fix_entry_call("GET", "/s/svc/big", NULL, 0, false);

	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_uint_eq(c.bytes, FIX_BIG_BYTES);
	ck_assert(c.pattern_ok);
	fix_entry_wait_idle();
}
END_TEST

START_TEST(upload_is_forwarded_with_and_without_a_length)
{
	struct fix_caller c =
		fix_entry_call("POST", "/s/svc/length", NULL, 5000000, false);

	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_str_eq(c.text, "5000000");
	c = fix_entry_call("POST", "/s/svc/length", NULL, 700001, true);
	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_str_eq(c.text, "700001");
	fix_entry_wait_idle();
}
END_TEST

START_TEST(answer_to_another_request_is_never_forwarded)
{
	const struct fix_caller c =
		fix_entry_call("GET", "/s/svc/crossed", NULL, 0, false);

	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	fix_entry_wait_idle();
}
END_TEST

START_TEST(truncated_answer_breaks_the_connection)
{
	const struct fix_caller c =
		fix_entry_call("GET", "/s/svc/truncate", NULL, 0, false);

	ck_assert_int_ne(c.code, CURLE_OK);
	ck_assert_uint_lt(c.bytes, 100);
	fix_entry_wait_idle();
}
END_TEST

START_TEST(answer_with_a_wrong_digest_is_not_forwarded_complete)
{
	const struct fix_caller c =
		fix_entry_call("GET", "/s/svc/digest", NULL, 0, false);

	ck_assert(c.code != CURLE_OK || c.status == 502);
	ck_assert_uint_ne(c.bytes, 5);
	fix_entry_wait_idle();
}
END_TEST

START_TEST(connection_stays_open_between_requests)
{
	CURL *easy = curl_easy_init();
	long opened = 0;
	char url[128];

	for (int i = 0; i < 4; i++) {
		struct fix_caller c = {0};

		/* The last one is refused. */
		snprintf(url, sizeof(url), "http://%s:%d/s/%s/ok", fix_ip().ptr,
			 FIX_ENTRY_PORT, i < 3 ? "svc" : "other");
		curl_easy_setopt(easy, CURLOPT_URL, url);
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION,
				 fix_entry_collect);
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, &c);
		ck_assert_int_eq(curl_easy_perform(easy), CURLE_OK);
		curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &opened);
		ck_assert_int_eq(opened, i ? 0 : 1);
	}
	curl_easy_cleanup(easy);
	fix_entry_wait_idle();
}
END_TEST

static const struct cut {
	const char *form;
	/* Bytes at its end without which the body is known to be whole. */
	size_t spare;
	/* Bytes at its end that a close, unlike a reset, may cut unnoticed. */
	size_t unnoticed;
} cuts[] = {
	{"length", 0, 0},
	{"chunked", 1, 0},
	{"interim", 0, 0},
	{"digest", 0, 0},
	/* HTTP has no sign of the end of such a body but the close. */
	{"open", 0, 5},
};

static void cut_answer(const struct cut *cut, const char *method,
		       const char *how, bool kept)
{
	size_t withheld = 1;

	for (size_t i = 0; withheld && i < 512; i++) {
		struct fix_caller c;
		char path[64];
		bool success;

		if (kept)
			fix_entry_call("GET", "/s/svc/ok", NULL, 0, false);
		snprintf(path, sizeof(path), "/s/svc/cut/%s/%zu/%s", cut->form,
			 i, how);
		c = fix_entry_call(method, path, NULL, 0, false);
		withheld = fix_upstream_withheld;
		success = c.code == CURLE_OK && c.status == 200;
		if (*how == 'c' && withheld <= cut->unnoticed)
			continue;
		ck_assert_msg(withheld > cut->spare ? !success
						    : !success || c.bytes == 5,
			      "%s %s, %zu bytes, %zu withheld: %ld, %zu bytes",
			      method, path, i, withheld, c.status, c.bytes);
		ck_assert_msg(withheld || success || *how == 'r',
			      "%s %s: whole, but %ld", method, path, c.status);
	}
	ck_assert_uint_eq(withheld, 0);
}

START_TEST(answer_cut_at_any_byte_is_no_success)
{
	static const char *const methods[] = {"GET", "POST"};

	for (int i = 0; i < 8; i++)
		cut_answer(&cuts[_i], methods[i & 1], i & 2 ? "reset" : "close",
			   i & 4);
	fix_entry_wait_idle();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry");

	tcase_add_test(tc, answer_is_forwarded_unchanged);
	tcase_add_test(tc, large_answer_is_forwarded_through_a_small_buffer);
	tcase_add_test(tc, upload_is_forwarded_with_and_without_a_length);
	tcase_add_test(tc, answer_to_another_request_is_never_forwarded);
	tcase_add_test(tc, truncated_answer_breaks_the_connection);
	tcase_add_test(tc,
		       answer_with_a_wrong_digest_is_not_forwarded_complete);
	tcase_add_test(tc, connection_stays_open_between_requests);
	tcase_add_loop_test(tc, answer_cut_at_any_byte_is_no_success, 0,
			    sizeof(cuts) / sizeof(cuts[0]));
	return fix_entry_run("entry", tc);
}
