/*
 * Fuzzes the parsers of data from the store and the platform with seeded
 * random damage. They must reject the damaged text or return a table within
 * its limits, and never crash.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/err.h"
#include "policy/edit.h"
#include "policy/head.h"
#include "policy/tbl.h"
#include "policy/vmlist.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define ROUNDS	    4000
#define MAX_DAMAGES 6

static uint64_t random_state;

static uint64_t next_random(void)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return random_state;
}

static const struct str tokens[] = {
	STR_LIT("{"),
	STR_LIT("}"),
	STR_LIT("["),
	STR_LIT("]"),
	STR_LIT(","),
	STR_LIT(":"),
	STR_LIT("\""),
	STR_LIT("null"),
	STR_LIT("true"),
	STR_LIT("-1"),
	STR_LIT("0"),
	STR_LIT("1e9"),
	STR_LIT("4294967296"),
	STR_LIT("18446744073709551616"),
	STR_LIT("\\u0000"),
	STR_LIT("\"rank\""),
	STR_LIT("\x80"),
	STR_LIT("\"weights\":{}"),
	STR_LIT("100"),
	STR_LIT("\"urgent\""),
	STR_LIT("\"almaty-1\""),
};

/* Replaces a byte, inserts a token, cuts bytes out or truncates the text. */
static void damage(char *text, size_t *len, size_t size)
{
	const size_t at = *len ? next_random() % *len : 0;
	const struct str token =
		tokens[next_random() % (sizeof(tokens) / sizeof(tokens[0]))];
	const size_t cut = next_random() % 40;

	switch (next_random() % 4) {
	case 0:
		if (*len)
			text[at] = (char)next_random();
		return;
	case 1:
		if (*len + token.len >= size)
			return;
		memmove(text + at + token.len, text + at, *len - at);
		memcpy(text + at, token.ptr, token.len);
		*len += token.len;
		return;
	case 2:
		if (at + cut > *len)
			return;
		memmove(text + at, text + at + cut, *len - at - cut);
		*len -= cut;
		return;
	default:
		*len = at;
		return;
	}
}

/*
 * Returns a damaged copy, owned by the caller. The allocation has the copy's
 * exact size, so that an overrun is detected.
 */
static struct str damaged(struct str from)
{
	static char buf[16384];
	size_t len = from.len;
	char *out;

	ck_assert_uint_lt(len, sizeof(buf));
	memcpy(buf, from.ptr, len);
	for (uint64_t i = next_random() % MAX_DAMAGES + 1; i; i--)
		damage(buf, &len, sizeof(buf));
	out = malloc(len + !len);
	ck_assert_ptr_nonnull(out);
	memcpy(out, buf, len);
	return (struct str){.ptr = out, .len = len};
}

static void check_row(const struct tbl *tbl, const struct tbl_row *row)
{
	uint64_t sum = 0;

	for (size_t d = 0; d < tbl->domain_count; d++)
		sum += row->weights[d];
	ck_assert(sum > 0 && row->deadline_ms > 0 && row->reserved_pct <= 100 &&
		  row->shift_cap_pct_per_s > 0 &&
		  row->shift_cap_pct_per_s <= 100);
}

static void check_table(const struct tbl *tbl)
{
	ck_assert(tbl->region_count && tbl->domain_count && tbl->service_count);
	for (size_t d = 0; d < tbl->domain_count; d++)
		ck_assert_uint_lt(tbl->domains[d].region, tbl->region_count);
	for (size_t i = 0; i < tbl->service_count * RANK_COUNT; i++)
		check_row(tbl, &tbl->rows[i]);
}

START_TEST(damaged_table_is_refused_or_within_limits)
{
	size_t accepted = 0;

	random_state = 0x9e3779b97f4a7c15U + (uint64_t)_i;
	for (int round = 0; round < ROUNDS; round++) {
		struct tbl_part parts[3];
		struct tbl_problem problem = {0};
		struct tbl *tbl = NULL;
		const size_t victim = next_random() % 3;
		int err;

		memcpy(parts, fix_parts, sizeof(parts));
		parts[victim].value = damaged(parts[victim].value);
		err = tbl_parse(&tbl, parts, 3, 5, &problem);
		free((char *)parts[victim].value.ptr);
		if (err) {
			ck_assert_int_eq(err, PST_ERR_INVALID);
			ck_assert_uint_gt(problem.cell.len, 0);
			continue;
		}
		check_table(tbl);
		tbl_put(tbl);
		accepted++;
	}
	/* Damage to a digit can leave a valid table. */
	ck_assert_uint_gt(accepted, 0);
	ck_assert_uint_lt(accepted, ROUNDS / 2);
}
END_TEST

static void check_list(const struct vmlist *vmlist)
{
	for (size_t i = 0; i < vmlist->count; i++) {
		ck_assert_uint_gt(vmlist->vms[i].id.len, 0);
		ck_assert_uint_gt(vmlist->vms[i].address.len, 0);
		ck_assert(vmlist->vms[i].kind == VM_ENTRY ||
			  vmlist->vms[i].port);
		if (i)
			ck_assert_int_lt(
				str_cmp(strbuf_str(&vmlist->vms[i - 1].id),
					strbuf_str(&vmlist->vms[i].id)),
				0);
	}
}

START_TEST(damaged_list_is_refused_or_ordered)
{
	char *whole = fix_vm_list(2);
	const struct str text = str_from_c(whole);

	random_state = 0xd1b54a32d192ed03U + (uint64_t)_i;
	for (int round = 0; round < ROUNDS; round++) {
		struct vmlist *vmlist = NULL;
		const struct str bad = damaged(text);
		const int err = vmlist_parse(&vmlist, bad);

		free((char *)bad.ptr);
		if (err) {
			ck_assert_int_eq(err, PST_ERR_INVALID);
			continue;
		}
		check_list(vmlist);
		vmlist_put(vmlist);
	}
	free(whole);
}
END_TEST

/* Cell names, parts and heads with any bytes in them. */
START_TEST(damaged_edit_and_head_never_crash)
{
	const struct str head = STR_LIT(
		"{\"edit\":\"e\",\"recent\":[{\"after\":4,\"keys\":[\"k\"]},"
		"{\"after\":2,\"keys\":[\"l\",\"m\"]}]}");

	random_state = 0x2545f4914f6cdd1dU + (uint64_t)_i;
	for (int round = 0; round < ROUNDS; round++) {
		const struct str part = damaged(fix_parts[1].value);
		const struct str cell = damaged(STR_LIT("weight.almaty-1"));
		const struct str bad = damaged(head);
		char text[EDIT_TEXT_MAX + 1];
		struct edit_cell parsed;
		struct str next = {0};
		char **keys;
		size_t count;

		if (!edit_cell_parse(STR_LIT("status"), STR_LIT("urgent"), cell,
				     &parsed)) {
			edit_cell_read(&parsed, part, text);
			edit_cell_write(&parsed, part, next_random(), &next);
			free((char *)next.ptr);
		}
		if (!head_keys(bad, next_random() % 6, &keys, &count))
			head_keys_free(keys, count);
		free((char *)part.ptr);
		free((char *)cell.ptr);
		free((char *)bad.ptr);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fuzz_table");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, damaged_table_is_refused_or_within_limits, 0,
			    3);
	tcase_add_loop_test(tc, damaged_list_is_refused_or_ordered, 0, 3);
	tcase_add_loop_test(tc, damaged_edit_and_head_never_crash, 0, 3);
	return fix_run("fuzz_table", tc);
}
