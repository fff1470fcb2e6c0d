#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/shr_root.h"
#include "tests/fix_run.h"

#define LOAN  CLK_SEC(2)
#define SELF  7
#define OTHER 8
#define TICK  CLK_MS(100)

/* Longest that anything lent can be in use after its holder stopped. */
#define REST (LOAN + CLK_SEC(1))

static struct shr_root root;
static apr_time_t now;
static struct shr_view view;

static void setup(void)
{
	now = CLK_SEC(50);
	view = (struct shr_view){.candidate = true, .listed = true};
	shr_root_init(&root, STR_LIT("almaty-1"), STR_LIT("entry-1"), SELF,
		      LOAN, now);
}

static enum shr_action step(apr_interval_time_t by)
{
	now += by;
	return shr_root_step(&root, now, &view);
}

/* Steps on until there is something to do; the time that took. */
static apr_interval_time_t step_until(enum shr_action wanted)
{
	const apr_time_t from = now;
	enum shr_action action = SHR_DO_NOTHING;

	while (action == SHR_DO_NOTHING && now < from + CLK_SEC(60))
		action = step(TICK);
	ck_assert_int_eq(action, wanted);
	return now - from;
}

static struct shr_record record(const char *holder, uint64_t incarnation,
				uint64_t revision)
{
	struct shr_record out = {
		.present = true,
		.revision = revision,
		.incarnation = incarnation,
	};

	strbuf_set(&out.holder, str_from_c(holder));
	return out;
}

static void read_answer(const char *holder, uint64_t incarnation,
			uint64_t revision)
{
	const struct shr_record r = record(holder, incarnation, revision);

	shr_root_read(&root, now, 0, &r);
}

static void hold(uint64_t revision)
{
	const struct shr_record none = {0};

	step_until(SHR_DO_READ);
	shr_root_read(&root, now, 0, &none);
	step_until(SHR_DO_SWAP);
	shr_root_swapped(&root, now, 0, revision);
	ck_assert(shr_root_valid(&root, now));
}

/* Brings the machine to ask the holder "entry-2" of revision 5. */
static void ask(void)
{
	step_until(SHR_DO_READ);
	read_answer("entry-2", OTHER, 5);
	step_until(SHR_DO_ASK);
}

START_TEST(a_first_claim_needs_no_wait)
{
	setup();
	hold(3);
}
END_TEST

START_TEST(a_lost_reply_of_a_swap_is_read_back)
{
	const struct shr_record none = {0};

	setup();
	step_until(SHR_DO_READ);
	shr_root_read(&root, now, 0, &none);
	step_until(SHR_DO_SWAP);
	shr_root_swapped(&root, now, PST_ERR_TIMEOUT, 0);
	ck_assert(!shr_root_valid(&root, now));
	step_until(SHR_DO_READ);
	read_answer("entry-1", SELF, 4);
	ck_assert(shr_root_valid(&root, now));
}
END_TEST

START_TEST(an_outage_does_not_end_it)
{
	setup();
	hold(3);
	for (int i = 0; i < 100; i++) {
		step_until(SHR_DO_READ);
		shr_root_read(&root, now, PST_ERR_UNAVAILABLE, NULL);
		ck_assert(shr_root_valid(&root, now));
	}
}
END_TEST

START_TEST(a_pause_suspends_until_the_store_confirms)
{
	setup();
	hold(3);
	now += CLK_SEC(3);
	ck_assert(!shr_root_valid(&root, now));
	ck_assert_int_eq(step(0), SHR_DO_READ);
	ck_assert(!shr_root_valid(&root, now));
	shr_root_read(&root, now, PST_ERR_UNAVAILABLE, NULL);
	ck_assert(!shr_root_valid(&root, now));
	step_until(SHR_DO_READ);
	read_answer("entry-1", SELF, 3);
	ck_assert(shr_root_valid(&root, now));
}
END_TEST

START_TEST(a_taken_over_record_ends_it)
{
	setup();
	hold(3);
	now += CLK_SEC(30);
	ck_assert_int_eq(step(0), SHR_DO_READ);
	read_answer("entry-2", OTHER, 9);
	ck_assert(!shr_root_valid(&root, now));
}
END_TEST

/* The answer had left the store before the pause, so it proves nothing. */
START_TEST(an_answer_from_before_a_pause_is_not_used)
{
	setup();
	hold(3);
	step_until(SHR_DO_READ);
	now += CLK_SEC(30);
	step(0);
	read_answer("entry-1", SELF, 3);
	ck_assert(!shr_root_valid(&root, now));
	step_until(SHR_DO_READ);
	read_answer("entry-2", OTHER, 9);
	ck_assert(!shr_root_valid(&root, now));
}
END_TEST

START_TEST(a_swap_from_before_a_pause_is_read_back)
{
	const struct shr_record none = {0};

	setup();
	step_until(SHR_DO_READ);
	shr_root_read(&root, now, 0, &none);
	step_until(SHR_DO_SWAP);
	now += CLK_SEC(30);
	step(0);
	shr_root_swapped(&root, now, 0, 4);
	ck_assert(!shr_root_valid(&root, now));
	step_until(SHR_DO_READ);
}
END_TEST

START_TEST(a_gone_holder_is_waited_out)
{
	apr_time_t first;

	setup();
	ask();
	first = now;
	while (root.state == SHR_ASKING) {
		shr_root_asked(&root, now, SHR_REPLY_GONE, 0);
		if (root.state == SHR_ASKING)
			step_until(SHR_DO_ASK);
	}
	ck_assert_int_eq(root.state, SHR_CLAIMING);
	ck_assert_int_ge(now - first, REST);
}
END_TEST

START_TEST(a_sign_of_life_starts_the_wait_again)
{
	setup();
	ask();
	for (int i = 0; i < 40; i++) {
		shr_root_asked(&root, now,
			       i % 4 == 3 ? SHR_REPLY_SILENT : SHR_REPLY_GONE,
			       0);
		ck_assert_int_eq(root.state, SHR_ASKING);
		step_until(SHR_DO_ASK);
	}
}
END_TEST

START_TEST(silence_alone_is_no_evidence)
{
	apr_time_t first;

	setup();
	ask();
	for (int i = 0; i < 200; i++) {
		shr_root_asked(&root, now, SHR_REPLY_SILENT, 0);
		ck_assert_int_eq(root.state, SHR_ASKING);
		step_until(SHR_DO_ASK);
	}
	view.holder_absent = SHR_ABSENT_MIN;
	step(TICK);
	first = now;
	while (root.state == SHR_ASKING) {
		shr_root_asked(&root, now, SHR_REPLY_SILENT, 0);
		if (root.state == SHR_ASKING)
			step_until(SHR_DO_ASK);
	}
	ck_assert_int_ge(now - first, REST);
}
END_TEST

START_TEST(a_holders_word_is_waited_for_its_rest)
{
	setup();
	ask();
	shr_root_asked(&root, now, SHR_REPLY_NOT, CLK_MS(1700));
	ck_assert_int_ge(step_until(SHR_DO_SWAP), CLK_MS(1700));
}
END_TEST

START_TEST(a_holder_gives_up_to_the_candidate_only)
{
	setup();
	hold(3);
	ck_assert(shr_root_asks(&root, now, 3, &view));
	ck_assert(shr_root_valid(&root, now));
	view.candidate = false;
	ck_assert(!shr_root_asks(&root, now, 3, &view));
	ck_assert(!shr_root_valid(&root, now));
}
END_TEST

/* A swap whose reply is late: its holder said already that it holds not. */
START_TEST(a_denied_record_is_never_held)
{
	const struct shr_record none = {0};

	setup();
	step_until(SHR_DO_READ);
	shr_root_read(&root, now, 0, &none);
	step_until(SHR_DO_SWAP);
	ck_assert(!shr_root_asks(&root, now, 4, &view));
	shr_root_swapped(&root, now, 0, 4);
	ck_assert(!shr_root_valid(&root, now));
	ck_assert_int_ge(step_until(SHR_DO_SWAP), REST);
	shr_root_swapped(&root, now, PST_ERR_CONFLICT, 0);
	step_until(SHR_DO_READ);
	read_answer("entry-1", SELF, 4);
	ck_assert(!shr_root_valid(&root, now));
}
END_TEST

START_TEST(a_vm_off_the_list_gives_up)
{
	setup();
	hold(3);
	view.listed = false;
	step(TICK);
	ck_assert(!shr_root_valid(&root, now));
}
END_TEST

START_TEST(another_process_of_the_vm_is_not_this_one)
{
	setup();
	step_until(SHR_DO_READ);
	read_answer("entry-1", SELF - 1, 5);
	ck_assert(!shr_root_valid(&root, now));
	step_until(SHR_DO_ASK);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shr_root");

	tcase_add_test(tc, a_first_claim_needs_no_wait);
	tcase_add_test(tc, a_lost_reply_of_a_swap_is_read_back);
	tcase_add_test(tc, an_outage_does_not_end_it);
	tcase_add_test(tc, a_pause_suspends_until_the_store_confirms);
	tcase_add_test(tc, a_taken_over_record_ends_it);
	tcase_add_test(tc, an_answer_from_before_a_pause_is_not_used);
	tcase_add_test(tc, a_swap_from_before_a_pause_is_read_back);
	tcase_add_test(tc, a_gone_holder_is_waited_out);
	tcase_add_test(tc, a_sign_of_life_starts_the_wait_again);
	tcase_add_test(tc, silence_alone_is_no_evidence);
	tcase_add_test(tc, a_holders_word_is_waited_for_its_rest);
	tcase_add_test(tc, a_holder_gives_up_to_the_candidate_only);
	tcase_add_test(tc, a_denied_record_is_never_held);
	tcase_add_test(tc, a_vm_off_the_list_gives_up);
	tcase_add_test(tc, another_process_of_the_vm_is_not_this_one);
	return fix_run("shr_root", tc);
}
