/* Parsers for callers' headers: examples, then seeded random bytes. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "entryd/headcheck.h"
#include "entryd/hdr.h"
#include "tests/fix_run.h"

#define FUZZ_ROUNDS 200000
#define FUZZ_BYTES  80
#define FUZZ_SEED   20261204

START_TEST(path_names_service_and_rest)
{
	struct strbuf service;
	struct str rest;

	ck_assert_int_eq(hdr_path(STR_LIT("/s/status/a?b=c"), &service, &rest),
			 0);
	ck_assert_str_eq(service.ptr, "status");
	ck_assert(str_eq(rest, STR_LIT("/a?b=c")));
	ck_assert_int_eq(hdr_path(STR_LIT("/s//a"), &service, &rest),
			 PST_ERR_REQ_PATH);
	ck_assert_int_eq(hdr_path(STR_LIT("/s/status"), &service, &rest),
			 PST_ERR_REQ_PATH);
	ck_assert_int_eq(hdr_path(STR_LIT("/x"), &service, &rest),
			 PST_ERR_REQ_PATH);
}
END_TEST

START_TEST(urgency_gives_the_rank)
{
	enum rank rank;

	ck_assert_int_eq(hdr_priority(STR_LIT("u=0, i"), &rank), 0);
	ck_assert_int_eq(rank, RANK_URGENT);
	ck_assert_int_eq(hdr_priority(STR_LIT("i, u=7"), &rank), 0);
	ck_assert_int_eq(rank, RANK_BULK);
	ck_assert_int_eq(hdr_priority(STR_LIT("i"), &rank), 0);
	ck_assert_int_eq(rank, RANK_NORMAL);
	ck_assert_int_eq(hdr_priority(STR_LIT("u=8"), &rank),
			 PST_ERR_REQ_HEADER);
	ck_assert_int_eq(hdr_priority(STR_LIT("u=12"), &rank),
			 PST_ERR_REQ_HEADER);
}
END_TEST

START_TEST(key_is_unquoted_and_bounded)
{
	struct str key;

	ck_assert_int_eq(hdr_key(STR_LIT(" \"a-1\" "), 8, &key), 0);
	ck_assert(str_eq(key, STR_LIT("a-1")));
	ck_assert_int_eq(hdr_key(STR_LIT("123456789"), 8, &key),
			 PST_ERR_REQ_HEADER);
	ck_assert_int_eq(hdr_key(STR_LIT("\"\""), 8, &key), PST_ERR_REQ_HEADER);
	ck_assert_int_eq(hdr_key(STR_LIT("a\nb"), 8, &key), PST_ERR_REQ_HEADER);
}
END_TEST

START_TEST(digest_is_found_among_others)
{
	unsigned char out[HDR_DIGEST_BYTES];

	ck_assert_int_eq(
		hdr_digest(
			STR_LIT("md5=:AA==:, sha-256="
				":AQIDAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
				"=:"),
			out),
		0);
	ck_assert_uint_eq(out[0], 1);
	ck_assert_uint_eq(out[2], 3);
	ck_assert_int_eq(hdr_digest(STR_LIT("md5=:AA==:"), out),
			 PST_ERR_NOTFOUND);
	ck_assert_int_eq(hdr_digest(STR_LIT("sha-256=:short:"), out),
			 PST_ERR_REQ_HEADER);
}
END_TEST

static void random_fill(char *bytes, size_t len)
{
	static const char likely[] = "u=0123456789,; \"\t/s:-_AZsha-256=\r\n";

	for (size_t i = 0; i < len; i++) {
		const long r = random();

		bytes[i] =
			r % 4 ? likely[(size_t)(r / 4) % (sizeof(likely) - 1)]
			      : (char)(r / 4);
	}
}

START_TEST(random_values_are_parsed_within_bounds)
{
	printf("seed=%d rounds=%d\n", FUZZ_SEED, FUZZ_ROUNDS);
	srandom(FUZZ_SEED);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		const size_t len = (size_t)random() % FUZZ_BYTES;
		/* The exact size lets the sanitizer detect an overrun. */
		char *bytes = malloc(len ? len : 1);
		const struct str text = {.ptr = bytes, .len = len};
		unsigned char digest[HDR_DIGEST_BYTES];
		struct strbuf service;
		struct str out;
		enum rank rank = RANK_COUNT;
		uint32_t ms = 0;

		random_fill(bytes, len);
		hdr_path(text, &service, &out);
		hdr_priority(text, &rank);
		ck_assert_uint_lt(rank, RANK_COUNT);
		if (!hdr_deadline(text, &ms))
			ck_assert_uint_gt(ms, 0);
		if (!hdr_key(text, 16, &out))
			ck_assert(out.len >= 1 && out.len <= 16);
		hdr_digest(text, digest);
		hdr_request_id_ok(text);
		hdr_hop_by_hop(text);
		free(bytes);
	}
}
END_TEST

/* A head is accepted only at its end; every shorter prefix is incomplete. */
START_TEST(partial_head_is_incomplete)
{
	const struct str head = STR_LIT("POST /s/a/b HTTP/1.1\r\nHost: x\r\n"
					"Idempotency-Key: k\r\n\r\n");
	struct headcheck headcheck;

	for (size_t i = 0; i < head.len; i++) {
		const struct str part = {.ptr = head.ptr, .len = i};

		ck_assert_int_eq(headcheck_head(&headcheck, part, 4096),
				 HEADCHECK_INCOMPLETE);
		ck_assert(!headcheck_not_run(&headcheck));
		if (i)
			ck_assert_int_eq(headcheck_head(&headcheck, part, i),
					 PST_ERR_REQ_HEAD_TOO_LARGE);
	}
	ck_assert_int_eq(headcheck_head(&headcheck, head, 4096), 0);
	ck_assert_int_eq(headcheck_head(&headcheck, head, head.len), 0);
	ck_assert(!headcheck_not_run(&headcheck));
}
END_TEST

START_TEST(random_heads_are_parsed_within_bounds)
{
	static const char start[] = "GET / HTTP/1.1\r\nHost: x\r\n";
	const size_t fixed = sizeof(start) - 1;

	srandom(FUZZ_SEED);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		const size_t len = fixed + (size_t)random() % FUZZ_BYTES;
		char *bytes = malloc(len);
		const struct str text = {.ptr = bytes, .len = len};
		struct headcheck headcheck;
		int err;

		memcpy(bytes, start, fixed);
		random_fill(bytes + fixed, len - fixed);
		if (i % 2)
			random_fill(bytes, fixed);
		err = headcheck_head(&headcheck, text,
				     1 + (size_t)random() % (2 * len));
		ck_assert(err <= HEADCHECK_INCOMPLETE);
		/* An incomplete head may still contain a key. */
		if (!headcheck.complete && !headcheck.idempotent)
			ck_assert(!headcheck_not_run(&headcheck));
		free(bytes);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("hdr");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, path_names_service_and_rest);
	tcase_add_test(tc, urgency_gives_the_rank);
	tcase_add_test(tc, key_is_unquoted_and_bounded);
	tcase_add_test(tc, digest_is_found_among_others);
	tcase_add_test(tc, random_values_are_parsed_within_bounds);
	tcase_add_test(tc, partial_head_is_incomplete);
	tcase_add_test(tc, random_heads_are_parsed_within_bounds);
	return fix_run("hdr", tc);
}
