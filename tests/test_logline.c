#include <check.h>

#include "common/logline.h"
#include "tests/fix_run.h"

#define LINE                                                             \
	"2026-08-14T11:42:54.949242Z info flow event=1810 request_done " \
	"req=a1 status=503 why=shed us=12"

static void check_line(struct str line, const char *vm)
{
	struct logline logline;

	ck_assert(logline_parse(line, &logline));
	ck_assert_uint_eq(logline.event, 1810);
	ck_assert(str_eq(logline.name, STR_LIT("request_done")));
	ck_assert(str_eq(logline.vm, str_from_c(vm)));
	ck_assert(str_eq(logline.text, STR_LIT(LINE)));
	ck_assert(
		str_eq(logline_field(&logline, STR_LIT("req")), STR_LIT("a1")));
	ck_assert(str_eq(logline_field(&logline, STR_LIT("why")),
			 STR_LIT("shed")));
	ck_assert_uint_eq(logline_field(&logline, STR_LIT("wh")).len, 0);
	ck_assert_uint_eq(logline_field(&logline, STR_LIT("us=1")).len, 0);
}

START_TEST(lines_alone_and_collected)
{
	check_line(STR_LIT(LINE), "");
	check_line(STR_LIT("front-a-1 " LINE), "front-a-1");
	check_line(STR_LIT("  -7.9624 front-a-1 " LINE), "front-a-1");
}
END_TEST

START_TEST(other_lines)
{
	static const char *const lines[] = {
		"",
		"quiet-1 99/176 0.88",
		"2026-08-14T11:42:54.949242Z",
		"2026-08-14T11:42:54.949242Z info flow",
		"2026-08-14T11:42:54.949242Z info flow event=x name",
		"2026-08-14T11:42:54.949242Z info flow event=1810",
		"2026-08-14T11:42:54.949242Z info flow event=99999999999 name",
		"2026-08-14 11:42:54.949242Z info flow event=1810 name",
	};
	struct logline logline;

	for (size_t i = 0; i < sizeof(lines) / sizeof(*lines); i++)
		ck_assert(!logline_parse(str_from_c(lines[i]), &logline));
}
END_TEST

static TCase *cases(void)
{
	TCase *tc = tcase_create("evl");

	tcase_add_test(tc, lines_alone_and_collected);
	tcase_add_test(tc, other_lines);
	return tc;
}

int main(void)
{
	return fix_run("evl", cases());
}
