#include "agent/tkt_call.h"

#include <string.h>

void tkt_call_send_op(struct tkt_peers *peers, const struct tkt_action *action)
{
	const struct tkt_id *id = &action->key->id;
	const struct tkt_call call = {
		.kind = TKT_CALL_OP,
		.attempt = action->attempt,
		.incarnation = id->witness_incarnation,
		.witness = id->witness,
		.op =
			{
				.kind = action->op,
				.block = id->block,
				.index = id->index,
				.requester.attempt = action->attempt,
			},
	};

	tkt_peers_send(peers, id->witness, &call);
}

void tkt_call_send_query(struct tkt_peers *peers,
			 const struct tkt_action *action)
{
	struct tkt_call call = {
		.kind = TKT_CALL_QUERY,
		.attempt = action->attempt,
		.incarnation = action->ask.incarnation,
		.query.owner_attempt = action->ask.attempt,
	};
	const struct str *own = &action->key->own;

	if (action->key->kind == TKT_KEY_OWN)
		memcpy(call.query.key, own->ptr, own->len);
	else
		tkt_id_format(&action->key->id, call.query.key);
	tkt_peers_send(peers, action->ask.vm, &call);
}
