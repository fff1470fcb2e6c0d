#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/edit.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

/*
 * Two operators edit a simulated store with one part. Swaps may be lost or
 * delayed, their replies lost, and the store down; what each operator is told
 * must be true.
 */

#define OPERATORS 2
#define GIVE_UP	  CLK_SEC(5)

enum fault {
	FAULT_NONE,
	FAULT_REPLY_LOST,
	FAULT_NEVER_ARRIVES,
	FAULT_ARRIVES_LATE,
	FAULT_STORE_DOWN,
	FAULT_COUNT,
};

static const char *const fault_names[] = {
	"works", "reply lost", "never arrives", "arrives late", "store down"};

struct swap {
	bool waiting;
	uint64_t expected;
	int who;
	struct str value;
};

struct test_operator {
	struct edit edit;
	uint64_t value;
	/* Result of its last read. */
	uint64_t read_revision;
	struct str read;
	struct swap delayed;
	/* Store revision of its edit's record; 0: none. */
	uint64_t record;
	int records;
};

struct sim_store {
	apr_time_t now;
	uint64_t random;
	uint64_t revision;
	struct str part;
	struct test_operator ops[OPERATORS];
	const char *what;
};

static uint64_t next_random(struct sim_store *w)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return w->random;
}

static struct str copy(struct str s)
{
	return (struct str){.ptr = strndup(s.ptr, s.len), .len = s.len};
}

static void replace(struct str *old, struct str with)
{
	free((char *)old->ptr);
	*old = with;
}

/* One revision stands for those of the part, the head and the record. */
static int apply_swap(struct sim_store *w, const struct swap *swap)
{
	struct test_operator *op = &w->ops[swap->who];

	if (swap->expected != w->revision || op->record)
		return PST_ERR_CONFLICT;
	w->revision++;
	replace(&w->part, copy(swap->value));
	op->record = w->revision;
	op->records++;
	return 0;
}

static void deliver_delayed(struct sim_store *w, struct test_operator *op)
{
	if (!op->delayed.waiting)
		return;
	op->delayed.waiting = false;
	apply_swap(w, &op->delayed);
	replace(&op->delayed.value, (struct str){0});
}

static void do_swap(struct sim_store *w, struct test_operator *op,
		    enum fault fault)
{
	struct swap swap = {
		.expected = op->read_revision,
		.who = (int)(op - w->ops),
	};
	int err = 0;

	ck_assert_int_eq(edit_cell_write(&op->edit.cell, op->read, op->value,
					 &swap.value),
			 0);
	switch (fault) {
	case FAULT_NONE:
	case FAULT_COUNT:
		err = apply_swap(w, &swap);
		break;
	case FAULT_REPLY_LOST:
		apply_swap(w, &swap);
		err = PST_ERR_TIMEOUT;
		break;
	case FAULT_NEVER_ARRIVES:
		err = PST_ERR_TIMEOUT;
		break;
	case FAULT_ARRIVES_LATE:
		deliver_delayed(w, op);
		op->delayed = swap;
		op->delayed.value = copy(swap.value);
		op->delayed.waiting = true;
		err = PST_ERR_TIMEOUT;
		break;
	case FAULT_STORE_DOWN:
		err = PST_ERR_UNAVAILABLE;
		break;
	}
	free((char *)swap.value.ptr);
	edit_on_swap(&op->edit, err, w->revision, w->now);
}

static bool ended(const struct edit *edit)
{
	return edit->step == EDIT_STEP_DONE ||
	       edit->step == EDIT_STEP_REFUSED ||
	       edit->step == EDIT_STEP_UNKNOWN;
}

static void step(struct sim_store *w, struct test_operator *op,
		 enum fault fault)
{
	const int err = fault == FAULT_STORE_DOWN ? PST_ERR_UNAVAILABLE : 0;

	w->now += CLK_MS(50);
	switch (op->edit.step) {
	case EDIT_STEP_READ:
		if (!err) {
			replace(&op->read, copy(w->part));
			op->read_revision = w->revision;
		}
		edit_on_read(&op->edit, err, op->read, w->now);
		break;
	case EDIT_STEP_SWAP:
		do_swap(w, op, fault);
		break;
	case EDIT_STEP_READ_BACK:
		edit_on_read_back(&op->edit, err, op->record, op->record,
				  w->now);
		break;
	case EDIT_STEP_DONE:
	case EDIT_STEP_REFUSED:
	case EDIT_STEP_UNKNOWN:
		break;
	}
}

static void begin(struct sim_store *w, uint64_t seed, const char *what,
		  const char *cell_a, const char *cell_b)
{
	const char *const names[OPERATORS] = {cell_a, cell_b};

	memset(w, 0, sizeof(*w));
	w->random = seed * 2654435761U + 1;
	w->revision = 10;
	w->part = copy(fix_parts[1].value);
	w->what = what;
	for (int i = 0; i < OPERATORS; i++) {
		struct test_operator *op = &w->ops[i];
		struct edit_cell cell;
		char wanted[8];

		op->value = 21 + (uint64_t)i;
		snprintf(wanted, sizeof(wanted), "%d", 21 + i);
		ck_assert_int_eq(edit_cell_parse(STR_LIT("status"),
						 STR_LIT("urgent"),
						 str_from_c(names[i]), &cell),
				 0);
		edit_begin(&op->edit, &cell, names[i], wanted, GIVE_UP);
	}
}

/* Delivers delayed swaps, then checks what each operator was told. */
static void check_and_end(struct sim_store *w)
{
	for (int i = 0; i < OPERATORS; i++)
		deliver_delayed(w, &w->ops[i]);
	for (int i = 0; i < OPERATORS; i++) {
		struct test_operator *op = &w->ops[i];

		if (op->records > 1)
			ck_abort_msg("%s: written twice", w->what);
		if (op->edit.step == EDIT_STEP_DONE &&
		    op->edit.revision != op->record)
			ck_abort_msg("%s: done, but no record", w->what);
		if (op->edit.step == EDIT_STEP_REFUSED && op->record)
			ck_abort_msg("%s: refused, but written", w->what);
		replace(&op->read, (struct str){0});
	}
	replace(&w->part, (struct str){0});
}

/* Only operator a's first swap meets the fault. */
static const struct fault_case {
	enum fault fault;
	/* The other operator's edit runs just before this step. */
	enum edit_step other_at;
	bool same_cell;
	enum edit_step end;
} fault_cases[] = {
	{FAULT_NONE, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FAULT_REPLY_LOST, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FAULT_NEVER_ARRIVES, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FAULT_ARRIVES_LATE, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FAULT_STORE_DOWN, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FAULT_NONE, EDIT_STEP_SWAP, false, EDIT_STEP_DONE},
	{FAULT_REPLY_LOST, EDIT_STEP_SWAP, false, EDIT_STEP_DONE},
	{FAULT_ARRIVES_LATE, EDIT_STEP_SWAP, false, EDIT_STEP_DONE},
	{FAULT_NONE, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FAULT_REPLY_LOST, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FAULT_NEVER_ARRIVES, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FAULT_STORE_DOWN, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FAULT_NONE, EDIT_STEP_READ_BACK, true, EDIT_STEP_DONE},
	/* Written, then overwritten by the other: still reported as done. */
	{FAULT_REPLY_LOST, EDIT_STEP_READ_BACK, true, EDIT_STEP_DONE},
	{FAULT_NEVER_ARRIVES, EDIT_STEP_READ_BACK, true, EDIT_STEP_REFUSED},
	{FAULT_ARRIVES_LATE, EDIT_STEP_READ_BACK, true, EDIT_STEP_REFUSED},
	{FAULT_REPLY_LOST, EDIT_STEP_READ_BACK, false, EDIT_STEP_DONE},
	{FAULT_NEVER_ARRIVES, EDIT_STEP_READ_BACK, false, EDIT_STEP_DONE},
};

START_TEST(each_swap_fault_at_each_step_of_the_other_edit)
{
	const struct fault_case *c = &fault_cases[_i];
	static struct sim_store w;
	struct test_operator *a = &w.ops[0];
	struct test_operator *b = &w.ops[1];
	bool fault_done = false;
	char what[96];

	snprintf(what, sizeof(what), "%s, case %d", fault_names[c->fault], _i);
	begin(&w, 1, what, "weight.almaty-1",
	      c->same_cell ? "weight.almaty-1" : "weight.almaty-2");
	for (int i = 0; i < 50 && !ended(&a->edit); i++) {
		const bool swap = a->edit.step == EDIT_STEP_SWAP && !fault_done;

		for (int j = 0;
		     a->edit.step == c->other_at && j < 10 && !ended(&b->edit);
		     j++)
			step(&w, b, FAULT_NONE);
		step(&w, a, swap ? c->fault : FAULT_NONE);
		fault_done = fault_done || swap;
	}
	ck_assert_msg(a->edit.step == c->end, "%s: ended in step %d", what,
		      (int)a->edit.step);
	if (c->end == EDIT_STEP_REFUSED) {
		ck_assert_int_eq(a->edit.err, PST_ERR_CONFLICT);
		ck_assert_str_eq(a->edit.initial_value, "100");
		ck_assert_str_eq(a->edit.conflicting_value, "22");
		ck_assert_str_eq(a->edit.wanted, "21");
	}
	check_and_end(&w);
}
END_TEST

START_TEST(two_operators_with_faults_are_told_the_truth)
{
	int ends[3] = {0};

	for (uint64_t seed = 1; seed <= 5000; seed++) {
		static struct sim_store w;
		char what[64];

		snprintf(what, sizeof(what), "seed %llu",
			 (unsigned long long)seed);
		begin(&w, seed, what, "weight.almaty-1",
		      seed % 2 ? "weight.almaty-1" : "weight.almaty-2");
		for (int i = 0; i < 400; i++) {
			const uint64_t r = next_random(&w);
			struct test_operator *op = &w.ops[r % OPERATORS];

			if (r / 8 % 4 == 0)
				deliver_delayed(&w, op);
			/* The second edit begins up to 9 rounds later. */
			if (op == &w.ops[1] &&
			    i < (int)(seed / 2 % 2 * (seed % 10)))
				op = &w.ops[0];
			step(&w, op,
			     r / 64 % 2 ? FAULT_NONE
					: (enum fault)(r / 256 % FAULT_COUNT));
		}
		for (int i = 0; i < OPERATORS; i++) {
			if (!ended(&w.ops[i].edit))
				ck_abort_msg("%s: did not end", what);
			ends[w.ops[i].edit.step - EDIT_STEP_DONE]++;
		}
		check_and_end(&w);
	}
	/* Most edits are written, some refused; few end unknown. */
	ck_assert_int_gt(ends[0], 5000);
	ck_assert_int_gt(ends[1], 500);
}
END_TEST

/* A delayed swap arrives after its record was read, and is overwritten. */
START_TEST(late_swap_that_was_overwritten_is_done)
{
	static struct sim_store w;
	struct test_operator *a = &w.ops[0];
	struct test_operator *b = &w.ops[1];

	begin(&w, 1, "late, overwritten", "deadline_ms", "deadline_ms");
	step(&w, a, FAULT_NONE);
	step(&w, a, FAULT_ARRIVES_LATE);
	step(&w, a, FAULT_NONE);
	ck_assert_int_eq(a->edit.step, EDIT_STEP_READ);
	deliver_delayed(&w, a);
	step(&w, b, FAULT_NONE);
	step(&w, b, FAULT_NONE);
	ck_assert_int_eq(b->edit.step, EDIT_STEP_DONE);
	for (int i = 0; i < 10; i++)
		step(&w, a, FAULT_NONE);
	ck_assert_int_eq(a->edit.step, EDIT_STEP_DONE);
	check_and_end(&w);
}
END_TEST

START_TEST(outage_ends_in_unknown_only_after_a_lost_swap)
{
	static struct sim_store w;
	struct test_operator *op = &w.ops[0];

	begin(&w, 1, "outage", "deadline_ms", "deadline_ms");
	for (int i = 0; i < 200; i++)
		step(&w, op, FAULT_STORE_DOWN);
	ck_assert_int_eq(op->edit.step, EDIT_STEP_REFUSED);
	ck_assert_int_eq(op->edit.err, PST_ERR_UNAVAILABLE);
	check_and_end(&w);
	begin(&w, 1, "outage after a lost swap", "deadline_ms", "deadline_ms");
	step(&w, op, FAULT_NONE);
	step(&w, op, FAULT_ARRIVES_LATE);
	for (int i = 0; i < 200; i++)
		step(&w, op, FAULT_STORE_DOWN);
	ck_assert_int_eq(op->edit.step, EDIT_STEP_UNKNOWN);
	check_and_end(&w);
}
END_TEST

#define DAY_S UINT64_C(86400)
#define NOW_S UINT64_C(1764849600)

/* Whether the record of an edit of this age has a key below end. */
static bool deleted(const char *end, uint64_t age_s)
{
	const uint64_t random_bits[2] = {UINT64_MAX, UINT64_MAX};
	char id[EDIT_ID_SIZE];
	char key[EDIT_KEY_MAX];

	edit_id_make(id, NOW_S - age_s, random_bits);
	snprintf(key, sizeof(key), EDIT_PREFIX "%s", id);
	return strcmp(key, end) < 0;
}

START_TEST(records_expire_by_both_clocks)
{
	char end[EDIT_KEY_MAX];

	ck_assert(
		edit_expired_end(end, NOW_S, STR_LIT("2025-12-04T11:59:00Z")));
	ck_assert(deleted(end, 31 * DAY_S));
	ck_assert(!deleted(end, 29 * DAY_S));
	ck_assert(!deleted(end, 0));
	/* This clock is far ahead, or that of the previous edit. */
	ck_assert(edit_expired_end(end, NOW_S + 400 * DAY_S,
				   STR_LIT("2025-12-04T11:59:00Z")));
	ck_assert(!deleted(end, 29 * DAY_S));
	ck_assert(
		edit_expired_end(end, NOW_S, STR_LIT("2031-01-01T00:00:00Z")));
	ck_assert(!deleted(end, 29 * DAY_S));
	ck_assert(!edit_expired_end(end, NOW_S, STR_LIT("")));
	ck_assert(!edit_expired_end(end, NOW_S, STR_LIT("yesterday")));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("edit");

	tcase_add_loop_test(
		tc, each_swap_fault_at_each_step_of_the_other_edit, 0,
		(int)(sizeof(fault_cases) / sizeof(fault_cases[0])));
	tcase_add_test(tc, two_operators_with_faults_are_told_the_truth);
	tcase_add_test(tc, late_swap_that_was_overwritten_is_done);
	tcase_add_test(tc, outage_ends_in_unknown_only_after_a_lost_swap);
	tcase_add_test(tc, records_expire_by_both_clocks);
	return fix_run("edit", tc);
}
