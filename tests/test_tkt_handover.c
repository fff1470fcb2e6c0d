/* Handover by a stopping witness: chunks, their encoding and successors. */
#include <check.h>
#include <stdlib.h>

#include "agent/tkt_hop.h"
#include "agent/tkt_wire.h"
#include "common/err.h"
#include "policy/tkt_pick.h"
#include "tests/fix_run.h"

#define INCARNATION 5
#define TICKETS	    6000
#define CHUNKS	    3
#define BUF_SIZE    1048576

static struct tkt_wset *create_set(uint64_t vm, uint64_t incarnation)
{
	const struct tkt_witness_conf conf = {
		.incarnation = incarnation,
		.ttl = CLK_SEC(10),
		.max_blocks = 4,
		.max_count = TICKETS,
	};
	struct tkt_wset *set = NULL;

	ck_assert_int_eq(tkt_wset_create(&set, vm, &conf), 0);
	return set;
}

static enum tkt_grant apply(struct tkt_wset *set, enum tkt_op_kind kind,
			    uint32_t index, uint64_t attempt, apr_time_t now)
{
	const struct tkt_op op = {
		.kind = kind,
		.block = 1,
		.index = index,
		.requester = {.vm = 1, .incarnation = 2, .attempt = attempt},
	};

	return tkt_wset_apply(set, INCARNATION, &op, now).grant;
}

/* Every fourth ticket is sealed, the other even ones owned by attempt 7. */
static struct tkt_wset *create_used_set(void)
{
	struct tkt_wset *set = create_set(3, INCARNATION);
	uint32_t count = TICKETS;
	uint64_t block;

	ck_assert_int_eq(tkt_wset_open(set, 1, &count, 0, &block), 0);
	for (uint32_t i = 0; i < TICKETS; i += 2)
		apply(set, i % 4 ? TKT_OP_CLAIM : TKT_OP_SEAL, i, 7, 1);
	return set;
}

static struct tkt_chunk *export_all(struct tkt_wset *set)
{
	struct tkt_chunk *chunks = calloc(CHUNKS, sizeof(*chunks));
	struct tkt_cursor cursor = {0};
	struct tkt_chunk *none = calloc(1, sizeof(*none));
	size_t n = 0;

	while (n < CHUNKS && tkt_wset_export(set, &cursor, &chunks[n], 1))
		n++;
	ck_assert_uint_eq(n, TICKETS / 2 / TKT_CHUNK_ITEMS + 1);
	ck_assert(chunks[n - 1].last);
	ck_assert(!tkt_wset_export(set, &cursor, none, 1));
	free(none);
	return chunks;
}

START_TEST(records_move_to_the_successor)
{
	struct tkt_wset *from = create_used_set();
	struct tkt_wset *to = create_set(4, 9);
	struct tkt_chunk *chunks = export_all(from);

	ck_assert_int_eq(apply(from, TKT_OP_CLAIM, 1, 8, 2),
			 TKT_GRANT_NO_REPLY);
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[1], 2), PST_ERR_INVALID);
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], 2), 0);
	ck_assert_int_eq(apply(to, TKT_OP_CLAIM, 1, 8, 2), TKT_GRANT_NO_REPLY);
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], 2), 0);
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[1], 2), 0);
	tkt_wset_handed_over(from, INCARNATION);
	ck_assert_int_eq(apply(from, TKT_OP_CLAIM, 1, 8, 2), TKT_GRANT_LOST);
	for (uint32_t i = 0; i < TICKETS; i += 2) {
		ck_assert_int_eq(apply(to, TKT_OP_CLAIM, i, 8, 2),
				 i % 4 ? TKT_GRANT_OTHER : TKT_GRANT_SEALED);
		ck_assert_int_eq(apply(to, TKT_OP_CLAIM, i + 1, 8, 2),
				 TKT_GRANT_YOURS);
	}
	/* A chunk that is repeated late does not restore the old records. */
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], 2), 0);
	ck_assert_int_eq(apply(to, TKT_OP_CLAIM, 1, 9, 2), TKT_GRANT_OTHER);
	/* The remaining time to live was handed over too. */
	ck_assert_int_eq(apply(to, TKT_OP_CLAIM, 1, 8, CLK_SEC(10)),
			 TKT_GRANT_YOURS);
	ck_assert_int_eq(apply(to, TKT_OP_CLAIM, 1, 8, CLK_SEC(10) + 2),
			 TKT_GRANT_LOST);
	free(chunks);
	tkt_wset_destroy(from);
	tkt_wset_destroy(to);
}
END_TEST

START_TEST(incomplete_handover_is_dropped)
{
	struct tkt_wset *from = create_used_set();
	struct tkt_wset *to = create_set(4, 9);
	struct tkt_chunk *chunks = export_all(from);

	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], CLK_SEC(1)), 0);
	for (uint64_t i = 1; i < TKT_ADOPTED_MAX; i++) {
		chunks[0].incarnation = 100 + i;
		ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], CLK_SEC(1)), 0);
	}
	chunks[0].incarnation = 200;
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], CLK_SEC(31)),
			 PST_ERR_FULL);
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[0], CLK_SEC(32)), 0);
	ck_assert_int_eq(tkt_wset_adopt(to, &chunks[1], CLK_SEC(32)),
			 PST_ERR_INVALID);
	free(chunks);
	tkt_wset_destroy(from);
	tkt_wset_destroy(to);
}
END_TEST

START_TEST(chunks_round_trip_through_xdr)
{
	struct tkt_wset *from = create_used_set();
	struct tkt_chunk *chunks = export_all(from);
	struct tkt_chunk *back = calloc(1, sizeof(*back));
	struct tktm_item *items = calloc(TKT_CHUNK_ITEMS, sizeof(*items));
	struct tktm_adopt_args out = {.items.items_val = items};
	struct tktm_adopt_args in = {0};
	char *buf = malloc(BUF_SIZE);
	char *again = malloc(BUF_SIZE);
	u_int len;
	XDR xdr;

	tkt_wire_encode_chunk(&out, &chunks[0]);
	xdrmem_create(&xdr, buf, BUF_SIZE, XDR_ENCODE);
	ck_assert(xdr_tktm_adopt_args(&xdr, &out));
	len = xdr_getpos(&xdr);
	xdrmem_create(&xdr, buf, BUF_SIZE, XDR_DECODE);
	ck_assert(xdr_tktm_adopt_args(&xdr, &in));
	tkt_wire_decode_chunk(back, &in);
	ck_assert_uint_eq(back->count, chunks[0].count);
	tkt_wire_encode_chunk(&out, back);
	xdrmem_create(&xdr, again, BUF_SIZE, XDR_ENCODE);
	ck_assert(xdr_tktm_adopt_args(&xdr, &out));
	ck_assert_uint_eq(xdr_getpos(&xdr), len);
	ck_assert_mem_eq(buf, again, len);
	xdr_free((xdrproc_t)xdr_tktm_adopt_args, &in);
	free(buf);
	free(again);
	free(items);
	free(back);
	free(chunks);
	tkt_wset_destroy(from);
}
END_TEST

START_TEST(witness_grant_counts_when_no_successor_has_records)
{
	static const char *const ids[] = {"a", "b", "c", "d"};
	struct vm vms[4] = {0};
	const struct vmlist vmlist = {.vms = vms, .count = 4};
	struct tkt_ruling lost = {.grant = TKT_GRANT_LOST};
	struct tkt_ruling no_reply = {.grant = TKT_GRANT_NO_REPLY};
	struct tkt_ruling yours = {.grant = TKT_GRANT_YOURS};
	struct tkt_call call = {.witness = tkt_vm_hash(STR_LIT("a"))};
	struct tkt_call other = call;
	const struct vm *rank[2];

	for (int i = 0; i < 4; i++)
		strbuf_set(&vms[i].id, str_from_c(ids[i]));
	ck_assert_uint_eq(tkt_pick_successors(&vmlist, call.witness, rank, 2),
			  2);
	ck_assert(rank[0] != &vms[0] && rank[1] != &vms[0]);
	ck_assert_uint_eq(tkt_hop_next(&vmlist, &other, &yours), 0);
	ck_assert_uint_eq(tkt_hop_next(&vmlist, &call, &lost),
			  tkt_vm_hash(strbuf_str(&rank[0]->id)));
	ck_assert_uint_eq(tkt_hop_next(&vmlist, &call, &lost),
			  tkt_vm_hash(strbuf_str(&rank[1]->id)));
	ck_assert_uint_eq(tkt_hop_next(&vmlist, &call, &lost), 0);
	ck_assert_int_eq(lost.grant, TKT_GRANT_LOST);
	call.hop = 0;
	tkt_hop_next(&vmlist, &call, &lost);
	tkt_hop_next(&vmlist, &call, &no_reply);
	ck_assert_uint_eq(tkt_hop_next(&vmlist, &call, &no_reply), 0);
	ck_assert_int_eq(no_reply.grant, TKT_GRANT_LOST);
	no_reply.grant = TKT_GRANT_NO_REPLY;
	tkt_hop_next(&vmlist, &other, &no_reply);
	tkt_hop_next(&vmlist, &other, &lost);
	ck_assert_uint_eq(tkt_hop_next(&vmlist, &other, &lost), 0);
	ck_assert_int_eq(lost.grant, TKT_GRANT_NO_REPLY);
}
END_TEST

START_TEST(records_are_never_handed_over_to_self)
{
	static const char *const ids[] = {"a", "b", "c"};
	struct vm vms[3] = {0};
	const struct vmlist vmlist = {.vms = vms, .count = 3};
	const uint64_t witness = tkt_vm_hash(STR_LIT("a"));
	const struct vm *rank[2];

	for (int i = 0; i < 3; i++)
		strbuf_set(&vms[i].id, str_from_c(ids[i]));
	tkt_pick_successors(&vmlist, witness, rank, 2);
	ck_assert_ptr_eq(tkt_pick_live_successor(&vmlist, witness, witness),
			 rank[0]);
	ck_assert_ptr_eq(
		tkt_pick_live_successor(&vmlist, witness,
					tkt_vm_hash(strbuf_str(&rank[0]->id))),
		rank[1]);
	vms[rank[0] - vms].state = VM_LEAVING;
	ck_assert_ptr_eq(tkt_pick_live_successor(&vmlist, witness, witness),
			 rank[1]);
	vms[rank[1] - vms].state = VM_LEAVING;
	ck_assert_ptr_null(tkt_pick_live_successor(&vmlist, witness, witness));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_handover");

	tcase_add_test(tc, records_move_to_the_successor);
	tcase_add_test(tc, incomplete_handover_is_dropped);
	tcase_add_test(tc, chunks_round_trip_through_xdr);
	tcase_add_test(tc, witness_grant_counts_when_no_successor_has_records);
	tcase_add_test(tc, records_are_never_handed_over_to_self);
	return fix_run("tkt_handover", tc);
}
