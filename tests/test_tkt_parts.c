/* Unit tests of the modules in policy/tkt_*. */
#include <check.h>
#include <string.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/tkt_claimant.h"
#include "policy/tkt_budget.h"
#include "policy/tkt_claim.h"
#include "policy/tkt_home.h"
#include "policy/tkt_pick.h"
#include "policy/tkt_witness.h"
#include "tests/fix_run.h"

#define MUTATIONS 200000

static const struct tkt_id sample = {
	.home = 0x1234567890abcdef,
	.home_incarnation = UINT64_MAX,
	.witness = 1,
	.witness_incarnation = 0x1000,
	.block = 77,
	.index = UINT32_MAX,
};

START_TEST(tickets_round_trip)
{
	char text[TKT_KEY_MAX + 1];
	struct tkt_key key;

	ck_assert_uint_eq(tkt_id_format(&sample, text), strlen(text));
	ck_assert_int_eq(tkt_key_parse(str_from_c(text), &key), 0);
	ck_assert_int_eq(key.kind, TKT_KEY_TICKET);
	ck_assert(tkt_key_eq(&key, &(struct tkt_key){
					   .kind = TKT_KEY_TICKET,
					   .id = sample,
				   }));
	ck_assert_int_eq(tkt_key_parse(STR_LIT("order-17"), &key), 0);
	ck_assert_int_eq(key.kind, TKT_KEY_OWN);
}
END_TEST

START_TEST(malformed_keys_are_refused)
{
	static const char *const bad[] = {
		"",
		"a b",
		"caf\xc3\xa9",
		"pst1-",
		"pst1-1-2-3-4-5",
		"pst1-1-2-3-4-5-6-7",
		"pst1-01-2-3-4-5-6",
		"pst1-A-2-3-4-5-6",
		"pst1-1-2-3-4-5-100000000",
		"pst1-10000000000000000-2-3-4-5-6",
	};
	char longest[TKT_KEY_MAX + 1];
	struct tkt_key key;

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		ck_assert_int_eq(tkt_key_parse(str_from_c(bad[i]), &key),
				 PST_ERR_TKT_MALFORMED);
	memset(longest, 'x', sizeof(longest));
	ck_assert_int_eq(
		tkt_key_parse((struct str){longest, TKT_KEY_MAX}, &key), 0);
	ck_assert_int_eq(
		tkt_key_parse((struct str){longest, TKT_KEY_MAX + 1}, &key),
		PST_ERR_TKT_MALFORMED);
}
END_TEST

/*
 * Text that parses as a ticket must format back to the same bytes, so that no
 * two texts mean the same ticket.
 */
START_TEST(mutated_tickets_never_alias)
{
	uint64_t random = 20261204;
	char text[TKT_KEY_MAX + 1];
	char again[TKT_KEY_MAX + 1];

	for (int i = 0; i < MUTATIONS; i++) {
		const size_t len = tkt_id_format(&sample, text);
		struct tkt_key key;

		for (int j = 0; j < 2; j++) {
			random = random * UINT64_C(6364136223846793005) + 1;
			text[(random >> 33) % len] =
				(char)(0x20 + (random >> 20) % 0x60);
		}
		if (tkt_key_parse(str_from_c(text), &key) ||
		    key.kind != TKT_KEY_TICKET)
			continue;
		tkt_id_format(&key.id, again);
		ck_assert_str_eq(again, text);
	}
}
END_TEST

START_TEST(claims_in_the_store_identify_the_owner)
{
	const struct tkt_owner me = {.vm = 7, .incarnation = 8, .attempt = 9};
	const struct tkt_owner other = {.vm = 7, .incarnation = 8};
	char text[TKT_CLAIM_MAX + 1];
	struct tkt_ruling ruling;

	tkt_claim_format(&me, text);
	ck_assert_int_eq(tkt_claim_read(str_from_c(text), &me).grant,
			 TKT_GRANT_YOURS);
	ruling = tkt_claim_read(str_from_c(text), &other);
	ck_assert_int_eq(ruling.grant, TKT_GRANT_OTHER);
	ck_assert(tkt_owner_eq(&ruling.owner, &me));
	ck_assert_int_eq(tkt_claim_read(STR_LIT("junk"), &me).grant,
			 TKT_GRANT_OTHER);
}
END_TEST

static struct tkt_witness *open_witness(uint64_t *block, uint32_t count)
{
	const struct tkt_witness_conf conf = {
		.incarnation = 5,
		.ttl = CLK_SEC(10),
		.max_blocks = 2,
		.max_count = 8,
	};
	struct tkt_witness *w = NULL;

	ck_assert_int_eq(tkt_witness_create(&w, &conf), 0);
	ck_assert_int_eq(tkt_witness_open(w, 1, &count, 0, block), 0);
	return w;
}

static enum tkt_grant apply(struct tkt_witness *w, enum tkt_op_kind kind,
			    uint64_t block, uint32_t index, uint64_t attempt,
			    apr_time_t now)
{
	const struct tkt_op op = {
		.kind = kind,
		.block = block,
		.index = index,
		.requester = {.vm = 1, .incarnation = 2, .attempt = attempt},
	};

	return tkt_witness_apply(w, 5, &op, now).grant;
}

START_TEST(witness_grants_once)
{
	uint64_t b;
	struct tkt_witness *w = open_witness(&b, 99);

	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 0, 1, 1), TKT_GRANT_YOURS);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 0, 1, 1), TKT_GRANT_YOURS);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 0, 2, 1), TKT_GRANT_OTHER);
	ck_assert_int_eq(apply(w, TKT_OP_SEAL, b, 0, 2, 1), TKT_GRANT_OTHER);
	ck_assert_int_eq(apply(w, TKT_OP_SEAL, b, 0, 1, 1), TKT_GRANT_SEALED);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 0, 1, 1), TKT_GRANT_SEALED);
	ck_assert_int_eq(apply(w, TKT_OP_SEAL, b, 1, 3, 1), TKT_GRANT_SEALED);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 1, 4, 1), TKT_GRANT_SEALED);
	/* The count was lowered to the largest allowed. */
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 8, 1, 1), TKT_GRANT_LOST);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b + 1, 0, 1, 1),
			 TKT_GRANT_LOST);
	tkt_witness_destroy(w);
}
END_TEST

START_TEST(expired_and_returned_tickets_are_never_granted)
{
	uint32_t count = 8;
	uint64_t b;
	uint64_t b2;
	struct tkt_witness *w = open_witness(&b, 8);

	ck_assert_int_eq(tkt_witness_open(w, 1, &count, 1, &b2), 0);
	ck_assert_int_eq(tkt_witness_open(w, 1, &count, 1, &b2),
			 PST_ERR_TKT_NO_BLOCK);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 0, 1, 2), TKT_GRANT_YOURS);
	tkt_witness_shrink(w, 5, b, 4, 2);
	tkt_witness_shrink(w, 6, b, 0, 2);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 4, 1, 2), TKT_GRANT_LOST);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 3, 1, 2), TKT_GRANT_YOURS);
	ck_assert_uint_eq(tkt_witness_stats(w).records, 2);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 3, 1, CLK_SEC(10)),
			 TKT_GRANT_LOST);
	ck_assert_uint_eq(tkt_witness_stats(w).blocks, 1);
	ck_assert_uint_eq(tkt_witness_stats(w).records, 0);
	ck_assert_int_eq(tkt_witness_open(w, 1, &count, CLK_SEC(10), &b2), 0);
	ck_assert_int_eq(apply(w, TKT_OP_CLAIM, b, 3, 1, CLK_SEC(10)),
			 TKT_GRANT_LOST);
	tkt_witness_destroy(w);
}
END_TEST

START_TEST(home_issues_in_the_first_half_of_a_block)
{
	const struct tkt_block block = {.witness = 9, .number = 3, .count = 4};
	struct tkt_block left[TKT_HOME_BLOCKS];
	struct tkt_home home;
	struct tkt_id id;

	tkt_home_init(&home, 1, 2, 4, 16);
	ck_assert(!tkt_home_issue(&home, 0, &id));
	ck_assert_uint_eq(tkt_home_tickets_needed(&home, 0), 4);
	ck_assert_uint_eq(tkt_home_tickets_needed(&home, 0), 0);
	tkt_home_block_opened(&home, &block, 0, CLK_SEC(10));
	for (uint32_t i = 0; i < 4; i++) {
		ck_assert(tkt_home_issue(&home, 1, &id));
		ck_assert_uint_eq(id.index, i);
	}
	ck_assert(!tkt_home_issue(&home, 1, &id));
	/* After a block was used up, the next request is larger. */
	ck_assert_uint_eq(tkt_home_tickets_needed(&home, 1), 8);
	tkt_home_block_opened(&home, &block, 1, CLK_SEC(10));
	ck_assert(tkt_home_issue(&home, CLK_SEC(5), &id));
	ck_assert(!tkt_home_issue(&home, CLK_SEC(5) + 1, &id));
	tkt_home_block_opened(&home, &block, CLK_SEC(6), CLK_SEC(10));
	ck_assert_uint_eq(tkt_home_release_blocks(&home, 8, left), 0);
	ck_assert_uint_eq(tkt_home_release_blocks(&home, 9, left), 1);
	ck_assert(!tkt_home_issue(&home, CLK_SEC(6), &id));
	tkt_home_drain(&home);
	ck_assert_uint_eq(tkt_home_tickets_needed(&home, CLK_SEC(6)), 0);
}
END_TEST

static struct vm make_vm(const char *id, const char *region, const char *domain,
			 enum vm_state state)
{
	struct vm vm = {.kind = VM_ENTRY, .state = state};

	strbuf_set(&vm.id, str_from_c(id));
	strbuf_set(&vm.region, str_from_c(region));
	strbuf_set(&vm.domain, str_from_c(domain));
	return vm;
}

START_TEST(witness_is_near_in_another_failure_domain)
{
	struct vm vms[] = {
		make_vm("e1", "r1", "r1-1", VM_LIVE),
		make_vm("e2", "r1", "r1-1", VM_LIVE),
		make_vm("e3", "r2", "r2-1", VM_LIVE),
		make_vm("e4", "r1", "r1-2", VM_LIVE),
		make_vm("e5", "r1", "r1-2", VM_LEAVING),
	};
	const struct vmlist vmlist = {.vms = vms, .count = 5};
	bool avoid[5] = {0};
	struct tkt_pick pick;

	ck_assert(tkt_pick_witness(&vmlist, &vms[0], avoid, &pick));
	ck_assert_ptr_eq(pick.vm, &vms[3]);
	ck_assert_int_eq(pick.reason, TKT_PICK_SAME_REGION);
	avoid[3] = true;
	ck_assert(tkt_pick_witness(&vmlist, &vms[0], avoid, &pick));
	ck_assert_ptr_eq(pick.vm, &vms[2]);
	avoid[2] = true;
	ck_assert(tkt_pick_witness(&vmlist, &vms[0], avoid, &pick));
	ck_assert_ptr_eq(pick.vm, &vms[1]);
	ck_assert_int_eq(pick.reason, TKT_PICK_SAME_DOMAIN);
	avoid[1] = true;
	ck_assert(!tkt_pick_witness(&vmlist, &vms[0], avoid, &pick));
}
END_TEST

START_TEST(budget_is_shared_by_the_fleet)
{
	struct tkt_budget budget;

	tkt_budget_init(&budget, 20, 0);
	ck_assert(!tkt_budget_take(&budget, 0, 0));
	ck_assert(tkt_budget_take(&budget, 10, 0));
	ck_assert(tkt_budget_take(&budget, 10, 0));
	ck_assert(!tkt_budget_take(&budget, 10, CLK_MS(499)));
	ck_assert(tkt_budget_take(&budget, 10, CLK_MS(500)));
	/* The share is two writes a second, and the bucket holds two. */
	ck_assert(tkt_budget_take(&budget, 10, CLK_SEC(100)));
	ck_assert(tkt_budget_take(&budget, 10, CLK_SEC(100)));
	ck_assert(!tkt_budget_take(&budget, 10, CLK_SEC(100)));
	/* The fleet grew: the share is a write in 10 s, the bucket holds 1. */
	ck_assert(!tkt_budget_take(&budget, 200, CLK_SEC(109)));
	ck_assert(tkt_budget_take(&budget, 200, CLK_SEC(110)));
	ck_assert(tkt_budget_take(&budget, 200, CLK_SEC(1000)));
	ck_assert(!tkt_budget_take(&budget, 200, CLK_SEC(1000)));
}
END_TEST

static unsigned action_count;

static void count_action(void *ctx, const struct tkt_action *action)
{
	(void)ctx;
	(void)action;
	action_count++;
}

START_TEST(ruling_without_an_attempt_is_ignored)
{
	const struct tkt_ruling yours = {.grant = TKT_GRANT_YOURS};
	const struct tkt_claimant_conf conf = {
		.capacity = 4,
		.retain = 1,
		.give_up = CLK_SEC(1),
		.act = count_action,
	};
	const struct tkt_key key = {.kind = TKT_KEY_TICKET, .id = sample};
	struct tkt_claimant *claimant = NULL;

	ck_assert_int_eq(tkt_claimant_create(&claimant, &conf), 0);
	tkt_claimant_admit(claimant, 1, &key, CLK_SEC(1), 0);
	tkt_claimant_tick(claimant, CLK_SEC(1));
	tkt_claimant_tick(claimant, CLK_SEC(2));
	ck_assert_uint_eq(tkt_claimant_stats(claimant).records, 0);
	action_count = 0;
	tkt_claimant_ruling(claimant, 0, &yours, 0);
	ck_assert_uint_eq(action_count, 0);
	tkt_claimant_destroy(claimant);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_parts");

	tcase_add_test(tc, tickets_round_trip);
	tcase_add_test(tc, malformed_keys_are_refused);
	tcase_add_test(tc, mutated_tickets_never_alias);
	tcase_add_test(tc, claims_in_the_store_identify_the_owner);
	tcase_add_test(tc, witness_grants_once);
	tcase_add_test(tc, expired_and_returned_tickets_are_never_granted);
	tcase_add_test(tc, home_issues_in_the_first_half_of_a_block);
	tcase_add_test(tc, witness_is_near_in_another_failure_domain);
	tcase_add_test(tc, budget_is_shared_by_the_fleet);
	tcase_add_test(tc, ruling_without_an_attempt_is_ignored);
	return fix_run("tkt_parts", tc);
}
