#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/err.h"
#include "common/settings.h"
#include "tests/fix_run.h"

static int load_text(const char *text, struct settings **set,
		     struct settings_problem *problem)
{
	char path[] = "/tmp/pst-test-XXXXXX";
	const int fd = mkstemp(path);
	int err;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	err = settings_load(path, set, problem);
	unlink(path);
	return err;
}

START_TEST(defaults_fill_what_is_left_out)
{
	struct settings_problem problem;
	struct settings *set = NULL;

	ck_assert_int_eq(
		load_text("vm:\n  id: e7\nnet:\n  peers: [127.0.0.1]\n", &set,
			  &problem),
		0);
	ck_assert(str_eq(set->vm.id, STR_LIT("e7")));
	ck_assert_uint_eq(set->entry.port, 8080);
	ck_assert_uint_eq(set->net.peers_count, 1);
	settings_free(set);
}
END_TEST

START_TEST(unknown_key_is_named_with_its_line)
{
	struct settings_problem problem;
	struct settings *set = NULL;

	ck_assert_int_eq(
		load_text("vm:\n  id: e7\n  colour: red\n", &set, &problem),
		PST_ERR_SETTINGS_SYNTAX);
	ck_assert_uint_eq(problem.line, 3);
	ck_assert_ptr_nonnull(strstr(problem.reason, "colour"));
}
END_TEST

START_TEST(number_out_of_range_names_line_and_allowed)
{
	struct settings_problem problem;
	struct settings *set = NULL;

	ck_assert_int_eq(load_text("entry:\n  port: 8080\n  rpc_port: 70000\n",
				   &set, &problem),
			 PST_ERR_SETTINGS_RANGE);
	ck_assert_uint_eq(problem.line, 3);
	ck_assert_str_eq(problem.key, "rpc_port");
	ck_assert_ptr_nonnull(strstr(problem.reason, "1 to 65535"));
}
END_TEST

START_TEST(example_file_holds_the_defaults)
{
	struct settings_problem problem;
	struct settings *set = NULL;

	ck_assert_int_eq(settings_load("conf/example.yaml", &set, &problem), 0);
	ck_assert_uint_eq(set->entry.max_body_bytes, 4294967296);
	ck_assert(str_eq(set->entry.policy, STR_LIT("broker")));
	settings_free(set);
}
END_TEST

START_TEST(missing_file_has_its_own_error)
{
	struct settings_problem problem;
	struct settings *set = NULL;

	ck_assert_int_eq(settings_load("/nonexistent", &set, &problem),
			 PST_ERR_SETTINGS_OPEN);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, defaults_fill_what_is_left_out);
	tcase_add_test(tc, unknown_key_is_named_with_its_line);
	tcase_add_test(tc, number_out_of_range_names_line_and_allowed);
	tcase_add_test(tc, example_file_holds_the_defaults);
	tcase_add_test(tc, missing_file_has_its_own_error);
	return fix_run("settings", tc);
}
