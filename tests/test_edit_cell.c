#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <jansson.h>

#include "common/err.h"
#include "policy/edit.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

static const struct cell_case {
	const char *service;
	const char *rank;
	const char *cell;
	/* Its value in the parts of fix_table.h; NULL: not a cell. */
	const char *now;
	const char *key;
} cells[] = {
	{"status", "urgent", "deadline_ms", "1000",
	 TBL_PREFIX_SERVICE "status"},
	{"status", "bulk", "reserved_pct", "10", TBL_PREFIX_SERVICE "status"},
	{"status", "normal", "shift_cap_pct_per_s", "10",
	 TBL_PREFIX_SERVICE "status"},
	{"status", "urgent", "weight.almaty-1", "100",
	 TBL_PREFIX_SERVICE "status"},
	{"status", "urgent", "weight.almaty-2", "-",
	 TBL_PREFIX_SERVICE "status"},
	{"status", "urgent", "region_limit.almaty", "200",
	 TBL_PREFIX_SERVICE "status"},
	{"-", "-", "link.almaty.astana", "4000", TBL_KEY_MANIFEST},
	{"status", "urgent", "weight", NULL, NULL},
	{"status", "urgent", "weight.", NULL, NULL},
	{"status", "urgent", "deadline_ms.x", NULL, NULL},
	{"status", "fast", "deadline_ms", NULL, NULL},
	{"sta/tus", "urgent", "deadline_ms", NULL, NULL},
	{"", "urgent", "deadline_ms", NULL, NULL},
	{"status", "urgent", "colour", NULL, NULL},
	{"status", "urgent", "", NULL, NULL},
	{"-", "-", "link.almaty", NULL, NULL},
	{"-", "-", "link..astana", NULL, NULL},
};

START_TEST(cell_is_named_read_and_written)
{
	const struct cell_case *c = &cells[_i];
	struct edit_cell cell;
	char key[EDIT_KEY_MAX];
	char text[EDIT_TEXT_MAX + 1];
	struct str part;
	struct str next;
	const int err =
		edit_cell_parse(str_from_c(c->service), str_from_c(c->rank),
				str_from_c(c->cell), &cell);

	if (!c->now) {
		ck_assert_int_eq(err, PST_ERR_INVALID);
		return;
	}
	ck_assert_int_eq(err, 0);
	edit_cell_key(&cell, key);
	ck_assert_str_eq(key, c->key);
	part = cell.kind == EDIT_LINK ? fix_parts[0].value : fix_parts[1].value;
	edit_cell_read(&cell, part, text);
	ck_assert_str_eq(text, c->now);
	ck_assert_int_eq(edit_cell_write(&cell, part, 17, &next), 0);
	edit_cell_read(&cell, next, text);
	ck_assert_str_eq(text, "17");
	free((char *)next.ptr);
}
END_TEST

START_TEST(bad_edit_is_rejected_before_the_write)
{
	struct tbl_problem problem = {0};
	struct edit_cell cell;
	struct str next;

	edit_cell_parse(STR_LIT("status"), STR_LIT("urgent"),
			STR_LIT("reserved_pct"), &cell);
	ck_assert_int_eq(edit_cell_write(&cell, fix_parts[1].value, 61, &next),
			 0);
	ck_assert_int_eq(edit_check(fix_parts[0].value, STR_LIT("status"), next,
				    &problem),
			 PST_ERR_INVALID);
	ck_assert_str_eq(problem.cell.ptr, "reserved_pct (sum over ranks)");
	ck_assert_int_eq(edit_check(fix_parts[0].value, STR_LIT("scans"),
				    fix_parts[1].value, &problem),
			 PST_ERR_INVALID);
	ck_assert_int_eq(edit_check(fix_parts[0].value, STR_LIT("booking"),
				    fix_parts[1].value, &problem),
			 0);
	free((char *)next.ptr);
}
END_TEST

/* Returns the manifest without its last count domains, owned by the caller. */
static char *fewer_domains(int count)
{
	json_t *root = json_loads(fix_manifest, 0, NULL);
	json_t *domains = json_object_get(root, "domains");
	char *text;

	for (; count; count--)
		json_array_remove(domains, json_array_size(domains) - 1);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

START_TEST(failure_domains_change_one_at_a_time)
{
	const struct str all = str_from_c(fix_manifest);
	struct tbl_problem problem = {0};
	char *five = fewer_domains(1);
	char *four = fewer_domains(2);

	ck_assert_int_eq(edit_check_manifest(STR_LIT(""), all, &problem), 0);
	ck_assert_int_eq(edit_check_manifest(all, all, &problem), 0);
	ck_assert_int_eq(edit_check_manifest(all, str_from_c(five), &problem),
			 0);
	ck_assert_int_eq(edit_check_manifest(str_from_c(five), all, &problem),
			 0);
	ck_assert_int_eq(edit_check_manifest(all, str_from_c(four), &problem),
			 PST_ERR_INVALID);
	ck_assert_int_eq(edit_check_manifest(str_from_c(four), all, &problem),
			 PST_ERR_INVALID);
	ck_assert_str_eq(problem.cell.ptr, "domains (more than one changed)");
	ck_assert_int_eq(edit_check_manifest(all, STR_LIT("{}"), &problem),
			 PST_ERR_INVALID);
	free(five);
	free(four);
}
END_TEST

START_TEST(drain_mark_is_a_cell)
{
	struct edit_cell cell;
	char text[EDIT_TEXT_MAX + 1];
	struct str marked;
	struct str cleared;

	ck_assert_int_eq(edit_cell_drain(STR_LIT("status-1"), &cell), 0);
	ck_assert_int_eq(edit_cell_write(&cell, STR_LIT(""), 1, &marked), 0);
	ck_assert(str_eq(marked, STR_LIT("{\"drain\":true}")));
	ck_assert_int_eq(edit_cell_write(&cell, marked, 0, &cleared), 0);
	edit_cell_read(&cell, cleared, text);
	ck_assert_str_eq(text, "0");
	ck_assert_int_eq(edit_cell_drain(STR_LIT("a/b"), &cell),
			 PST_ERR_INVALID);
	free((char *)marked.ptr);
	free((char *)cleared.ptr);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("edit_cell");

	tcase_add_loop_test(tc, cell_is_named_read_and_written, 0,
			    (int)(sizeof(cells) / sizeof(cells[0])));
	tcase_add_test(tc, bad_edit_is_rejected_before_the_write);
	tcase_add_test(tc, failure_domains_change_one_at_a_time);
	tcase_add_test(tc, drain_mark_is_a_cell);
	return fix_run("edit_cell", tc);
}
