#include "agent/tkt_wire.h"

#include "common/err.h"

void tkt_wire_op(struct tktm_op *out, const struct tkt_op *op)
{
	*out = (struct tktm_op){
		.kind = (u_int)op->kind,
		.index = op->index,
		.block = op->block,
		.attempt = op->who.attempt,
	};
}

bool tkt_unwire_op(struct tkt_op *out, const struct tktm_op *op)
{
	if (op->kind != TKT_OP_SEAL && op->kind != TKT_OP_CLAIM)
		return false;
	out->kind = (enum tkt_op_kind)op->kind;
	out->index = op->index;
	out->block = op->block;
	out->who.attempt = op->attempt;
	return true;
}

void tkt_wire_put_ruling(struct tktm_ruling *out,
			 const struct tkt_ruling *ruling)
{
	*out = (struct tktm_ruling){
		.grant = (u_int)ruling->grant,
		.owner =
			{
				.vm = ruling->owner.vm,
				.incarnation = ruling->owner.incarnation,
				.attempt = ruling->owner.attempt,
			},
	};
}

struct tkt_ruling tkt_wire_ruling(const struct tktm_ruling *ruling)
{
	struct tkt_ruling out = {
		.grant = TKT_GRANT_SILENT,
		.reason = PST_ERR_UNAVAILABLE,
		.owner =
			{
				.vm = ruling->owner.vm,
				.incarnation = ruling->owner.incarnation,
				.attempt = ruling->owner.attempt,
			},
	};

	if (ruling->grant >= TKT_GRANT_YOURS && ruling->grant <= TKT_GRANT_DOWN)
		out.grant = (enum tkt_grant)ruling->grant;
	return out;
}

enum tkt_outcome tkt_wire_outcome(u_int outcome)
{
	if (outcome > TKT_OUTCOME_DOUBT)
		return TKT_OUTCOME_UNSEEN;
	return (enum tkt_outcome)outcome;
}
