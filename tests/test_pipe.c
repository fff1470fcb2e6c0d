#include <check.h>
#include <string.h>

#include "entryd/pipe.h"
#include "tests/fix_run.h"

START_TEST(bytes_are_read_in_order_across_the_wrap)
{
	struct pipe pipe;
	unsigned char next_in = 0;
	unsigned char next_out = 0;

	pipe_init(&pipe, 7);
	for (int round = 0; round < 1000; round++) {
		unsigned char bytes[5];
		size_t n;

		for (size_t i = 0; i < sizeof(bytes); i++)
			bytes[i] = (unsigned char)(next_in + i);
		next_in = (unsigned char)(next_in + pipe_write(&pipe, bytes,
							       1 + round % 5));
		n = pipe_read(&pipe, bytes, 1 + round % 3);
		for (size_t i = 0; i < n; i++)
			ck_assert_uint_eq(bytes[i], next_out++);
	}
	pipe_free(&pipe);
}
END_TEST

START_TEST(full_pipe_accepts_nothing_and_rewinds_only_buffered_bytes)
{
	struct pipe pipe;
	char out[8];

	pipe_init(&pipe, 4);
	ck_assert_uint_eq(pipe_write(&pipe, "abcdef", 6), 4);
	ck_assert_uint_eq(pipe_write(&pipe, "x", 1), 0);
	ck_assert_uint_eq(pipe_read(&pipe, out, 3), 3);
	ck_assert(pipe_can_rewind(&pipe));
	pipe_rewind(&pipe);
	ck_assert_uint_eq(pipe_read(&pipe, out, 8), 4);
	ck_assert_int_eq(memcmp(out, "abcd", 4), 0);
	ck_assert_uint_eq(pipe_write(&pipe, "e", 1), 1);
	ck_assert(!pipe_can_rewind(&pipe));
	pipe_free(&pipe);
}
END_TEST

START_TEST(only_the_first_close_of_a_pipe_counts)
{
	struct pipe pipe;

	pipe_init(&pipe, 4);
	pipe_close(&pipe, false);
	pipe_close(&pipe, true);
	ck_assert(!pipe.broken);
	ck_assert_uint_eq(pipe_write(&pipe, "a", 1), 0);
	pipe_free(&pipe);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pipe");

	tcase_add_test(tc, bytes_are_read_in_order_across_the_wrap);
	tcase_add_test(
		tc, full_pipe_accepts_nothing_and_rewinds_only_buffered_bytes);
	tcase_add_test(tc, only_the_first_close_of_a_pipe_counts);
	return fix_run("pipe", tc);
}
