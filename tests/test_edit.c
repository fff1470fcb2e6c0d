#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/edit.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

/* A store with one part; writes may be lost, delayed or refused. */

#define OPERATORS 2
#define GIVE_UP	  CLK_SEC(5)

enum fate {
	FATE_WORKS,
	FATE_REPLY_LOST,
	FATE_NEVER_ARRIVES,
	FATE_ARRIVES_LATE,
	FATE_DOWN,
	FATE_COUNT,
};

static const char *const fate_names[] = {"works", "reply lost", "never arrives",
					 "arrives late", "store down"};

struct swap {
	bool waiting;
	uint64_t expected;
	int who;
	struct str value;
};

struct operator_ {
	struct edit edit;
	uint64_t value;
	/* What it read last. */
	uint64_t read_revision;
	struct str read;
	struct swap late;
	/* Store's revision of its record; 0: none. */
	uint64_t record;
	int records;
};

struct world {
	apr_time_t now;
	uint64_t random;
	uint64_t revision;
	struct str part;
	struct operator_ ops[OPERATORS];
	const char *what;
};

static uint64_t draw(struct world *w)
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

/* Part, head and record are compared together, so one revision stands in. */
static int take_swap(struct world *w, const struct swap *swap)
{
	struct operator_ *op = &w->ops[swap->who];

	if (swap->expected != w->revision || op->record)
		return PST_ERR_CONFLICT;
	w->revision++;
	replace(&w->part, copy(swap->value));
	op->record = w->revision;
	op->records++;
	return 0;
}

static void land_late(struct world *w, struct operator_ *op)
{
	if (!op->late.waiting)
		return;
	op->late.waiting = false;
	take_swap(w, &op->late);
	replace(&op->late.value, (struct str){0});
}

static void do_swap(struct world *w, struct operator_ *op, enum fate fate)
{
	struct swap swap = {
		.expected = op->read_revision,
		.who = (int)(op - w->ops),
	};
	int err = 0;

	ck_assert_int_eq(edit_cell_write(&op->edit.cell, op->read, op->value,
					 &swap.value),
			 0);
	switch (fate) {
	case FATE_WORKS:
	case FATE_COUNT:
		err = take_swap(w, &swap);
		break;
	case FATE_REPLY_LOST:
		take_swap(w, &swap);
		err = PST_ERR_TIMEOUT;
		break;
	case FATE_NEVER_ARRIVES:
		err = PST_ERR_TIMEOUT;
		break;
	case FATE_ARRIVES_LATE:
		land_late(w, op);
		op->late = swap;
		op->late.value = copy(swap.value);
		op->late.waiting = true;
		err = PST_ERR_TIMEOUT;
		break;
	case FATE_DOWN:
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

static void step(struct world *w, struct operator_ *op, enum fate fate)
{
	const int err = fate == FATE_DOWN ? PST_ERR_UNAVAILABLE : 0;

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
		do_swap(w, op, fate);
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

static void begin(struct world *w, uint64_t seed, const char *what,
		  const char *cell_a, const char *cell_b)
{
	const char *const names[OPERATORS] = {cell_a, cell_b};

	memset(w, 0, sizeof(*w));
	w->random = seed * 2654435761U + 1;
	w->revision = 10;
	w->part = copy(fix_parts[1].value);
	w->what = what;
	for (int i = 0; i < OPERATORS; i++) {
		struct operator_ *op = &w->ops[i];
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

/* What each operator was told must be true, now and when all has landed. */
static void check_and_end(struct world *w)
{
	for (int i = 0; i < OPERATORS; i++)
		land_late(w, &w->ops[i]);
	for (int i = 0; i < OPERATORS; i++) {
		struct operator_ *op = &w->ops[i];

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

/* The first swap meets the fate; everything after it works. */
static const struct fate_case {
	enum fate fate;
	/* Where the other operator's edit falls: before that step. */
	enum edit_step other_at;
	bool same_cell;
	enum edit_step end;
} fate_cases[] = {
	{FATE_WORKS, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FATE_REPLY_LOST, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FATE_NEVER_ARRIVES, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FATE_ARRIVES_LATE, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FATE_DOWN, EDIT_STEP_DONE, false, EDIT_STEP_DONE},
	{FATE_WORKS, EDIT_STEP_SWAP, false, EDIT_STEP_DONE},
	{FATE_REPLY_LOST, EDIT_STEP_SWAP, false, EDIT_STEP_DONE},
	{FATE_ARRIVES_LATE, EDIT_STEP_SWAP, false, EDIT_STEP_DONE},
	{FATE_WORKS, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FATE_REPLY_LOST, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FATE_NEVER_ARRIVES, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FATE_DOWN, EDIT_STEP_SWAP, true, EDIT_STEP_REFUSED},
	{FATE_WORKS, EDIT_STEP_READ_BACK, true, EDIT_STEP_DONE},
	/* Written, then overwritten by the other: it was accepted all the same.
	 */
	{FATE_REPLY_LOST, EDIT_STEP_READ_BACK, true, EDIT_STEP_DONE},
	{FATE_NEVER_ARRIVES, EDIT_STEP_READ_BACK, true, EDIT_STEP_REFUSED},
	{FATE_ARRIVES_LATE, EDIT_STEP_READ_BACK, true, EDIT_STEP_REFUSED},
	{FATE_REPLY_LOST, EDIT_STEP_READ_BACK, false, EDIT_STEP_DONE},
	{FATE_NEVER_ARRIVES, EDIT_STEP_READ_BACK, false, EDIT_STEP_DONE},
};

START_TEST(each_fate_of_a_swap_at_each_step_of_the_other)
{
	const struct fate_case *c = &fate_cases[_i];
	static struct world w;
	struct operator_ *a = &w.ops[0];
	struct operator_ *b = &w.ops[1];
	bool fated = false;
	char what[96];

	snprintf(what, sizeof(what), "%s, case %d", fate_names[c->fate], _i);
	begin(&w, 1, what, "weight.almaty-1",
	      c->same_cell ? "weight.almaty-1" : "weight.almaty-2");
	for (int i = 0; i < 50 && !ended(&a->edit); i++) {
		const bool swap = a->edit.step == EDIT_STEP_SWAP && !fated;

		for (int j = 0;
		     a->edit.step == c->other_at && j < 10 && !ended(&b->edit);
		     j++)
			step(&w, b, FATE_WORKS);
		step(&w, a, swap ? c->fate : FATE_WORKS);
		fated = fated || swap;
	}
	ck_assert_msg(a->edit.step == c->end, "%s: ended in step %d", what,
		      (int)a->edit.step);
	if (c->end == EDIT_STEP_REFUSED) {
		ck_assert_int_eq(a->edit.err, PST_ERR_CONFLICT);
		ck_assert_str_eq(a->edit.base, "100");
		ck_assert_str_eq(a->edit.other, "22");
		ck_assert_str_eq(a->edit.wanted, "21");
	}
	check_and_end(&w);
}
END_TEST

START_TEST(two_operators_with_faults_are_told_the_truth)
{
	int ends[3] = {0};

	for (uint64_t seed = 1; seed <= 5000; seed++) {
		static struct world w;
		char what[64];

		snprintf(what, sizeof(what), "seed %llu",
			 (unsigned long long)seed);
		begin(&w, seed, what, "weight.almaty-1",
		      seed % 2 ? "weight.almaty-1" : "weight.almaty-2");
		for (int i = 0; i < 400; i++) {
			const uint64_t r = draw(&w);
			struct operator_ *op = &w.ops[r % OPERATORS];

			if (r / 8 % 4 == 0)
				land_late(&w, op);
			/* The other begins at any time. */
			if (op == &w.ops[1] &&
			    i < (int)(seed / 2 % 2 * (seed % 10)))
				op = &w.ops[0];
			step(&w, op,
			     r / 64 % 2 ? FATE_WORKS
					: (enum fate)(r / 256 % FATE_COUNT));
		}
		for (int i = 0; i < OPERATORS; i++) {
			if (!ended(&w.ops[i].edit))
				ck_abort_msg("%s: did not end", what);
			ends[w.ops[i].edit.step - EDIT_STEP_DONE]++;
		}
		check_and_end(&w);
	}
	/* The draws reach every end but leave few unknown. */
	ck_assert_int_gt(ends[0], 5000);
	ck_assert_int_gt(ends[1], 500);
}
END_TEST

/* The swap lands after it was looked for, and another edit follows it. */
START_TEST(late_swap_that_was_overwritten_is_done)
{
	static struct world w;
	struct operator_ *a = &w.ops[0];
	struct operator_ *b = &w.ops[1];

	begin(&w, 1, "late, overwritten", "deadline_ms", "deadline_ms");
	step(&w, a, FATE_WORKS);
	step(&w, a, FATE_ARRIVES_LATE);
	step(&w, a, FATE_WORKS);
	ck_assert_int_eq(a->edit.step, EDIT_STEP_READ);
	land_late(&w, a);
	step(&w, b, FATE_WORKS);
	step(&w, b, FATE_WORKS);
	ck_assert_int_eq(b->edit.step, EDIT_STEP_DONE);
	for (int i = 0; i < 10; i++)
		step(&w, a, FATE_WORKS);
	ck_assert_int_eq(a->edit.step, EDIT_STEP_DONE);
	check_and_end(&w);
}
END_TEST

START_TEST(outage_ends_in_unknown_only_after_a_lost_swap)
{
	static struct world w;
	struct operator_ *op = &w.ops[0];

	begin(&w, 1, "outage", "deadline_ms", "deadline_ms");
	for (int i = 0; i < 200; i++)
		step(&w, op, FATE_DOWN);
	ck_assert_int_eq(op->edit.step, EDIT_STEP_REFUSED);
	ck_assert_int_eq(op->edit.err, PST_ERR_UNAVAILABLE);
	check_and_end(&w);
	begin(&w, 1, "outage after a lost swap", "deadline_ms", "deadline_ms");
	step(&w, op, FATE_WORKS);
	step(&w, op, FATE_ARRIVES_LATE);
	for (int i = 0; i < 200; i++)
		step(&w, op, FATE_DOWN);
	ck_assert_int_eq(op->edit.step, EDIT_STEP_UNKNOWN);
	check_and_end(&w);
}
END_TEST

#define DAY_S UINT64_C(86400)
#define NOW_S UINT64_C(1764849600)

/* The end of what is deleted lies after an id of that age. */
static bool deleted(const char *end, uint64_t age_s)
{
	const uint64_t noise[2] = {UINT64_MAX, UINT64_MAX};
	char id[EDIT_ID_SIZE];
	char key[EDIT_KEY_MAX];

	edit_id_make(id, NOW_S - age_s, noise);
	snprintf(key, sizeof(key), EDIT_PREFIX "%s", id);
	return strcmp(key, end) < 0;
}

START_TEST(records_expire_by_both_clocks)
{
	char end[EDIT_KEY_MAX];

	ck_assert(edit_expired_before(end, NOW_S,
				      STR_LIT("2025-12-04T11:59:00Z")));
	ck_assert(deleted(end, 31 * DAY_S));
	ck_assert(!deleted(end, 29 * DAY_S));
	ck_assert(!deleted(end, 0));
	/* A clock far ahead, or the one before it. */
	ck_assert(edit_expired_before(end, NOW_S + 400 * DAY_S,
				      STR_LIT("2025-12-04T11:59:00Z")));
	ck_assert(!deleted(end, 29 * DAY_S));
	ck_assert(edit_expired_before(end, NOW_S,
				      STR_LIT("2031-01-01T00:00:00Z")));
	ck_assert(!deleted(end, 29 * DAY_S));
	ck_assert(!edit_expired_before(end, NOW_S, STR_LIT("")));
	ck_assert(!edit_expired_before(end, NOW_S, STR_LIT("yesterday")));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("edit");

	tcase_add_loop_test(tc, each_fate_of_a_swap_at_each_step_of_the_other,
			    0,
			    (int)(sizeof(fate_cases) / sizeof(fate_cases[0])));
	tcase_add_test(tc, two_operators_with_faults_are_told_the_truth);
	tcase_add_test(tc, late_swap_that_was_overwritten_is_done);
	tcase_add_test(tc, outage_ends_in_unknown_only_after_a_lost_swap);
	tcase_add_test(tc, records_expire_by_both_clocks);
	return fix_run("edit", tc);
}
