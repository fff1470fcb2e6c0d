#include "agent/tkt_wire.h"

#include "common/err.h"

static struct tktm_owner encode_owner(const struct tkt_owner *owner)
{
	return (struct tktm_owner){
		.vm = owner->vm,
		.incarnation = owner->incarnation,
		.attempt = owner->attempt,
	};
}

static struct tkt_owner decode_owner(const struct tktm_owner *owner)
{
	return (struct tkt_owner){
		.vm = owner->vm,
		.incarnation = owner->incarnation,
		.attempt = owner->attempt,
	};
}

void tkt_wire_encode_op(struct tktm_op *out, const struct tkt_op *op)
{
	*out = (struct tktm_op){
		.kind = (u_int)op->kind,
		.index = op->index,
		.block = op->block,
		.attempt = op->requester.attempt,
	};
}

bool tkt_wire_decode_op(struct tkt_op *out, const struct tktm_op *op)
{
	if (op->kind != TKT_OP_SEAL && op->kind != TKT_OP_CLAIM)
		return false;
	out->kind = (enum tkt_op_kind)op->kind;
	out->index = op->index;
	out->block = op->block;
	out->requester.attempt = op->attempt;
	return true;
}

void tkt_wire_encode_ruling(struct tktm_ruling *out,
			    const struct tkt_ruling *ruling)
{
	*out = (struct tktm_ruling){
		.grant = (u_int)ruling->grant,
		.owner = encode_owner(&ruling->owner),
	};
}

struct tkt_ruling tkt_wire_decode_ruling(const struct tktm_ruling *ruling)
{
	struct tkt_ruling out = {
		.grant = TKT_GRANT_NO_REPLY,
		.reason = PST_ERR_UNAVAILABLE,
		.owner = decode_owner(&ruling->owner),
	};

	if (ruling->grant >= TKT_GRANT_YOURS &&
	    ruling->grant <= TKT_GRANT_UNAVAILABLE)
		out.grant = (enum tkt_grant)ruling->grant;
	return out;
}

void tkt_wire_encode_chunk(struct tktm_adopt_args *out,
			   const struct tkt_chunk *chunk)
{
	out->vm = chunk->vm;
	out->incarnation = chunk->incarnation;
	out->first = chunk->first;
	out->next = chunk->next;
	out->sequence = chunk->sequence;
	out->last = chunk->last;
	out->items.items_len = (u_int)chunk->count;
	for (size_t i = 0; i < chunk->count; i++) {
		const struct tkt_item *item = &chunk->items[i];

		out->items.items_val[i] = (struct tktm_item){
			.kind = (u_int)item->kind,
			.index = item->index,
			.count = item->count,
			.block = item->block,
			.home = item->home,
			.ttl_left_us = (uint64_t)item->ttl_left,
			.owner = encode_owner(&item->owner),
		};
	}
}

void tkt_wire_decode_chunk(struct tkt_chunk *out,
			   const struct tktm_adopt_args *in)
{
	out->vm = in->vm;
	out->incarnation = in->incarnation;
	out->first = in->first;
	out->next = in->next;
	out->sequence = in->sequence;
	out->last = in->last;
	out->count = in->items.items_len;
	for (size_t i = 0; i < out->count; i++) {
		const struct tktm_item *item = &in->items.items_val[i];

		out->items[i] = (struct tkt_item){
			.kind = (enum tkt_item_kind)item->kind,
			.index = item->index,
			.count = item->count,
			.block = item->block,
			.home = item->home,
			.ttl_left = (apr_interval_time_t)item->ttl_left_us,
			.owner = decode_owner(&item->owner),
		};
	}
}

enum tkt_outcome tkt_wire_decode_outcome(u_int outcome)
{
	if (outcome > TKT_OUTCOME_UNKNOWN)
		return TKT_OUTCOME_NO_RECORD;
	return (enum tkt_outcome)outcome;
}
