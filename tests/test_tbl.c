#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/err.h"
#include "policy/head.h"
#include "policy/partset.h"
#include "policy/tbl.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

static struct tbl *parse(void)
{
	struct tbl_problem problem;
	struct tbl *tbl = NULL;

	ck_assert_int_eq(tbl_parse(&tbl, fix_parts, 3, 5, &problem), 0);
	return tbl;
}

START_TEST(table_is_decoded)
{
	struct tbl *tbl = parse();
	const struct tbl_row *row;
	const int status = tbl_service_find(tbl, STR_LIT("status"));

	ck_assert_uint_eq(tbl->revision, 5);
	ck_assert_uint_eq(tbl->region_count, 3);
	ck_assert_uint_eq(tbl->domains[2].region, 1);
	ck_assert_uint_eq(tbl->links[0].bytes_per_s, 500000000);
	ck_assert_int_ge(status, 0);
	ck_assert_int_ge(tbl_service_find(tbl, STR_LIT("booking")), 0);
	ck_assert_int_eq(tbl_service_find(tbl, STR_LIT("statu")), -1);
	ck_assert_int_eq(tbl_region_find(tbl, STR_LIT("nowhere")), -1);
	ck_assert_int_eq(tbl_domain_find(tbl, STR_LIT("aktobe-2")), 5);
	row = tbl_row(tbl, (uint32_t)status, RANK_NORMAL);
	ck_assert_uint_eq(row->service, (unsigned)status);
	ck_assert_int_eq(row->rank, RANK_NORMAL);
	ck_assert_uint_eq(row->reserved_pct, 30);
	ck_assert_uint_eq(row->weights[0], 100);
	ck_assert_uint_eq(row->weights[1], 0);
	ck_assert_uint_eq(row->region_limits[0], 200);
	ck_assert_uint_eq(row->region_limits[1], UINT32_MAX);
	tbl_put(tbl);
}
END_TEST

/* A replacement in the text of a part, and the cell that must be named. */
static const struct bad_cell {
	int part;
	const char *from;
	const char *to;
	const char *cell;
} bad_cells[] = {
	{0, "\"regions\"", "\"areas\"", "areas"},
	{0, "\"astana\",", "\"almaty\",", "regions[1]"},
	{0, "\"astana\",", "\"a/b\",", "regions[1]"},
	{0, "\"astana\",", "7,", "regions[1]"},
	{0, "{\"name\":\"astana-1\"", "{\"name\":\"almaty-1\"", "domains[2]"},
	{0, "\"region\":\"aktobe\"", "\"region\":\"x\"", "domains[4]"},
	{0, "\"mbps\":4000", "\"mbps\":0", "links[0]"},
	{0, "\"mbps\":4000", "\"mbps\":-1", "links[0]"},
	{0, "\"mbps\":4000", "\"mbps\":4e3", "links[0]"},
	{0, "\"to\":\"astana\"", "\"to\":\"almaty\"", "links[0]"},
	{0, "\"booking\"]", "\"status\"]", "services"},
	{0, "\"booking\"]", "\"booking\",\"scans\"]", "rows (no value)"},
	{0, "{\"regions\"", "\"regions\"", "manifest"},
	{1, "\"bulk\"", "\"normal\"", "rows[2].rank"},
	{1, "\"bulk\"", "\"slow\"", "rows[2].rank"},
	{1, "\"rows\"", "\"lines\"", "rows"},
	{1, "\"deadline_ms\":1000", "\"deadline_ms\":0", "urgent.deadline_ms"},
	{1, "\"deadline_ms\":1000", "\"deadline_ms\":3600001",
	 "urgent.deadline_ms"},
	{1, "\"deadline_ms\":1000", "\"deadline\":1000", "urgent.deadline"},
	{1, "\"reserved_pct\":50", "\"reserved_pct\":101",
	 "urgent.reserved_pct"},
	{1, "\"reserved_pct\":50", "\"reserved_pct\":61",
	 "reserved_pct (sum over ranks)"},
	{1, "\"shift_cap_pct_per_s\":10", "\"shift_cap_pct_per_s\":0",
	 "urgent.shift_cap_pct_per_s"},
	{1, "\"almaty-1\":100", "\"almaty-9\":100", "urgent.weight.almaty-9"},
	{1, "\"almaty-1\":100", "\"almaty-1\":1000001",
	 "urgent.weight.almaty-1"},
	{1, "\"almaty-1\":100,\"astana-1\":50", "\"almaty-1\":0,\"astana-1\":0",
	 "urgent.weights"},
	{1, "\"almaty\":200", "\"nowhere\":200", "urgent.region_limit.nowhere"},
	{1, "\"almaty\":200", "\"almaty\":4294967296",
	 "urgent.region_limit.almaty"},
	{1, "\"almaty\":200", "\"almaty\":true", "urgent.region_limit.almaty"},
	{1, "\"almaty\":200", "\"almaty\":1,\"almaty\":2", "rows"},
};

static char *replace_text(struct str text, const char *from, const char *to)
{
	const char *at = strstr(text.ptr, from);
	char *out = NULL;

	ck_assert_ptr_nonnull(at);
	if (asprintf(&out, "%.*s%s%s", (int)(at - text.ptr), text.ptr, to,
		     at + strlen(from)) < 0)
		ck_abort();
	return out;
}

START_TEST(bad_value_is_rejected_with_its_cell)
{
	const struct bad_cell *bad = &bad_cells[_i];
	struct tbl_part parts[3];
	struct tbl_problem problem = {0};
	struct tbl *tbl = NULL;
	char *text =
		replace_text(fix_parts[bad->part].value, bad->from, bad->to);

	memcpy(parts, fix_parts, sizeof(parts));
	parts[bad->part].value = str_from_c(text);
	ck_assert_int_eq(tbl_parse(&tbl, parts, 3, 5, &problem),
			 PST_ERR_INVALID);
	ck_assert_str_eq(problem.cell.ptr, bad->cell);
	if (bad->part)
		ck_assert_str_eq(problem.service.ptr, "status");
	free(text);
}
END_TEST

START_TEST(change_of_one_service_shares_the_other_rows)
{
	struct tbl *before = parse();
	struct tbl_problem problem;
	struct tbl *after = NULL;
	char *text = replace_text(fix_parts[1].value, "\"almaty-1\":100",
				  "\"almaty-1\":7");
	const struct tbl_part change = {
		.key = fix_parts[1].key,
		.mod_revision = 9,
		.value = str_from_c(text),
	};
	const uint32_t status =
		(uint32_t)tbl_service_find(before, STR_LIT("status"));
	const uint32_t booking =
		(uint32_t)tbl_service_find(before, STR_LIT("booking"));

	ck_assert_int_eq(tbl_apply(&after, before, &change, 1, 9, &problem), 0);
	ck_assert_uint_eq(after->revision, 9);
	ck_assert_uint_eq(tbl_row(after, status, RANK_URGENT)->weights[0], 7);
	ck_assert_uint_eq(tbl_row(before, status, RANK_URGENT)->weights[0],
			  100);
	ck_assert_ptr_eq(tbl_row(after, booking, RANK_BULK)->weights,
			 tbl_row(before, booking, RANK_BULK)->weights);
	tbl_put(before);
	ck_assert_uint_eq(tbl_row(after, booking, RANK_BULK)->weights[0], 100);
	tbl_put(after);
	free(text);
}
END_TEST

START_TEST(rank_names_are_parsed_back)
{
	enum rank rank;

	for (int r = 0; r < RANK_COUNT; r++) {
		ck_assert_int_eq(
			rank_parse(str_from_c(rank_name((enum rank)r)), &rank),
			0);
		ck_assert_int_eq(rank, r);
	}
	ck_assert_int_eq(rank_parse(STR_LIT("Urgent"), &rank), PST_ERR_INVALID);
}
END_TEST

static struct tbl_part part(const char *key, uint64_t revision,
			    const char *value)
{
	return (struct tbl_part){
		.key = str_from_c(key),
		.mod_revision = revision,
		.value = str_from_c(value),
	};
}

START_TEST(parts_keep_the_highest_revision)
{
	const struct tbl_part first[] = {part("b", 5, "x"), part("a", 4, "y")};
	const struct tbl_part older = part("b", 4, "old");
	const struct tbl_part newer = part("a", 9, "new");
	struct tbl_part *list;
	struct partset *partset;
	size_t taken;
	size_t count;
	bool more;

	ck_assert_int_eq(partset_create(&partset), 0);
	ck_assert_int_eq(partset_take(partset, first, 2, &taken), 0);
	ck_assert_uint_eq(taken, 2);
	ck_assert_int_eq(partset_take(partset, &older, 1, &taken), 0);
	ck_assert_uint_eq(taken, 0);
	ck_assert_int_eq(partset_take(partset, &newer, 1, &taken), 0);
	ck_assert_uint_eq(partset_revision(partset), 9);
	ck_assert_int_eq(partset_prefix(partset, STR_LIT("b"), &list, &count),
			 0);
	ck_assert_uint_eq(count, 1);
	ck_assert(str_eq(list[0].value, STR_LIT("x")));
	partset_free(list, count);
	ck_assert_int_eq(
		partset_since(partset, 4, SIZE_MAX, &list, &count, &more), 0);
	ck_assert_uint_eq(count, 2);
	ck_assert(!more);
	ck_assert_uint_eq(list[0].mod_revision, 5);
	ck_assert_uint_eq(list[1].mod_revision, 9);
	partset_free(list, count);
	ck_assert_int_eq(partset_prefix(partset, STR_LIT("a"), &list, &count),
			 0);
	ck_assert_uint_eq(count, 1);
	partset_free(list, count);
	partset_destroy(partset);
}
END_TEST

/*
 * Lengths around the least that is compressed; values at odd indices are
 * random and don't compress.
 */
START_TEST(parts_of_any_length_are_returned_unchanged)
{
	static const size_t lengths[] = {0, 1, 511, 512, 513, 6000, 200000};
	enum {
		LENGTHS = sizeof(lengths) / sizeof(lengths[0])
	};
	struct tbl_part parts[LENGTHS];
	struct tbl_part *list;
	struct partset *partset;
	size_t taken;
	size_t count;
	bool more;

	for (size_t i = 0; i < LENGTHS; i++) {
		char *bytes = malloc(lengths[i] + 1);
		char key[] = "key-0";

		for (size_t j = 0; j < lengths[i]; j++)
			bytes[j] =
				(char)(i % 2 ? (size_t)random() : 'a' + j % 9);
		key[4] = (char)('0' + i);
		parts[i] = (struct tbl_part){
			.key = {.ptr = strdup(key), .len = strlen(key)},
			.mod_revision = i + 1,
			.value = {.ptr = bytes, .len = lengths[i]},
		};
	}
	ck_assert_int_eq(partset_create(&partset), 0);
	ck_assert_int_eq(partset_take(partset, parts, LENGTHS, &taken), 0);
	ck_assert_int_eq(
		partset_since(partset, 0, SIZE_MAX, &list, &count, &more), 0);
	ck_assert_uint_eq(count, LENGTHS);
	for (size_t i = 0; i < LENGTHS; i++)
		ck_assert(str_eq(list[i].value, parts[i].value));
	partset_free(list, count);
	/* The list ends with the first part that goes beyond the limit. */
	ck_assert_int_eq(partset_since(partset, 0, 1000, &list, &count, &more),
			 0);
	ck_assert_uint_eq(count, 4);
	ck_assert(more);
	partset_free(list, count);
	partset_destroy(partset);
	for (size_t i = 0; i < LENGTHS; i++) {
		free((char *)parts[i].key.ptr);
		free((char *)parts[i].value.ptr);
	}
}
END_TEST

static struct str head_after(struct str old, uint64_t revision, const char *key)
{
	const struct head_edit edit = {
		.id = STR_LIT("e"), .who = STR_LIT("w"), .when = STR_LIT("t")};
	const struct str keys[] = {str_from_c(key)};
	struct str next;

	ck_assert_int_eq(head_next(old, revision, &edit, keys, 1, &next), 0);
	free((char *)old.ptr);
	return next;
}

START_TEST(head_lists_keys_changed_since_a_revision)
{
	struct str head = {0};
	char **keys;
	size_t count;

	for (uint64_t i = 0; i < HEAD_MAX_RECENT + 5; i++) {
		char key[32];

		snprintf(key, sizeof(key), "k%d", (int)(i % 3));
		head = head_after(head, i * 10, key);
	}
	/* The last edit followed revision 360, the one before 350. */
	ck_assert_int_eq(head_keys(head, 360, &keys, &count), 0);
	ck_assert_uint_eq(count, 1);
	ck_assert_str_eq(keys[0], "k0");
	head_keys_free(keys, count);
	ck_assert_int_eq(head_keys(head, 350, &keys, &count), 0);
	ck_assert_uint_eq(count, 2);
	head_keys_free(keys, count);
	ck_assert_int_eq(head_keys(head, 100, &keys, &count), 0);
	ck_assert_uint_eq(count, 3);
	head_keys_free(keys, count);
	/* Older than the oldest edit that the head lists. */
	ck_assert_int_eq(head_keys(head, 40, &keys, &count), PST_ERR_NOTFOUND);
	ck_assert_int_eq(head_keys(STR_LIT("{}"), 1, &keys, &count),
			 PST_ERR_INVALID);
	ck_assert(head_is_edit(head, STR_LIT("e")));
	ck_assert(!head_is_edit(head, STR_LIT("f")));
	free((char *)head.ptr);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tbl");

	tcase_add_test(tc, table_is_decoded);
	tcase_add_loop_test(tc, bad_value_is_rejected_with_its_cell, 0,
			    (int)(sizeof(bad_cells) / sizeof(bad_cells[0])));
	tcase_add_test(tc, change_of_one_service_shares_the_other_rows);
	tcase_add_test(tc, rank_names_are_parsed_back);
	tcase_add_test(tc, parts_keep_the_highest_revision);
	tcase_add_test(tc, parts_of_any_length_are_returned_unchanged);
	tcase_add_test(tc, head_lists_keys_changed_since_a_revision);
	return fix_run("tbl", tc);
}
