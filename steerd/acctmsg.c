#include "steerd/acctmsg.h"

#include <math.h>
#include <string.h>

#include "common/err.h"

/* Encoded sizes in bytes: of the head, and of each type of message. */
#define HEAD_BYTES  20
#define ASK_BYTES   40
#define GRANT_BYTES 24
#define PULL_BYTES  44
#define GIVE_BYTES  36

static size_t size_of(const struct acctmsg_batch *batch)
{
	return HEAD_BYTES + ASK_BYTES * (size_t)batch->ask_count +
	       GRANT_BYTES * (size_t)batch->grant_count +
	       PULL_BYTES * (size_t)batch->pull_count +
	       GIVE_BYTES * (size_t)batch->give_count;
}

bool acctmsg_add(struct acctmsg_batch *batch, const struct acctmsg *msg)
{
	static const size_t sizes[] = {
		[ACCTMSG_ASK] = ASK_BYTES,
		[ACCTMSG_GRANT] = GRANT_BYTES,
		[ACCTMSG_PULL] = PULL_BYTES,
		[ACCTMSG_GIVE] = GIVE_BYTES,
	};

	if (size_of(batch) + sizes[msg->type] > ACCTMSG_MAX_BYTES)
		return false;
	switch (msg->type) {
	case ACCTMSG_ASK:
		batch->asks[batch->ask_count++] = msg->ask;
		break;
	case ACCTMSG_GRANT:
		batch->grants[batch->grant_count++] = msg->grant;
		break;
	case ACCTMSG_PULL:
		batch->pulls[batch->pull_count++] = msg->pull;
		break;
	case ACCTMSG_GIVE:
		batch->gives[batch->give_count++] = msg->give;
		break;
	}
	return true;
}

/* The generated type, whose arrays are those of the batch. */
static struct act_x_batch wire_batch(struct acctmsg_batch *batch)
{
	return (struct act_x_batch){
		.kind = ACT_X_KIND,
		.asks = {.asks_len = batch->ask_count, .asks_val = batch->asks},
		.grants = {.grants_len = batch->grant_count,
			   .grants_val = batch->grants},
		.pulls = {.pulls_len = batch->pull_count,
			  .pulls_val = batch->pulls},
		.gives = {.gives_len = batch->give_count,
			  .gives_val = batch->gives},
	};
}

size_t acctmsg_encode(const struct acctmsg_batch *batch,
		      char out[ACCTMSG_MAX_BYTES])
{
	/* The encoder only reads. */
	struct act_x_batch wire =
		wire_batch((struct acctmsg_batch *)(uintptr_t)batch);
	XDR xdr;

	xdrmem_create(&xdr, out, ACCTMSG_MAX_BYTES, XDR_ENCODE);
	return xdr_act_x_batch(&xdr, &wire) ? xdr_getpos(&xdr) : 0;
}

static bool is_amount(double value)
{
	return isfinite(value) && value >= 0;
}

static bool has_valid_amounts(const struct acctmsg_batch *batch)
{
	bool valid = true;

	for (unsigned i = 0; i < batch->ask_count; i++)
		valid = valid && is_amount(batch->asks[i].rate) &&
			is_amount(batch->asks[i].burst);
	for (unsigned i = 0; i < batch->pull_count; i++)
		valid = valid && is_amount(batch->pulls[i].wanted) &&
			is_amount(batch->pulls[i].tokens) &&
			is_amount(batch->pulls[i].per_s) &&
			is_amount(batch->pulls[i].unmet);
	for (unsigned i = 0; i < batch->give_count; i++)
		valid = valid && is_amount(batch->gives[i].tokens) &&
			is_amount(batch->gives[i].left) &&
			is_amount(batch->gives[i].per_s);
	return valid;
}

int acctmsg_decode(struct acctmsg_batch *batch, struct str bytes)
{
	struct act_x_batch wire = wire_batch(batch);
	XDR xdr;

	if (bytes.len > ACCTMSG_MAX_BYTES)
		return PST_ERR_INVALID;
	/* The decoder writes to arrays that exist, up to the schema's limits.
	 */
	xdrmem_create(&xdr, (char *)(uintptr_t)bytes.ptr, (u_int)bytes.len,
		      XDR_DECODE);
	if (!xdr_act_x_batch(&xdr, &wire) || wire.kind != ACT_X_KIND ||
	    xdr_getpos(&xdr) != bytes.len)
		return PST_ERR_INVALID;
	batch->ask_count = wire.asks.asks_len;
	batch->grant_count = wire.grants.grants_len;
	batch->pull_count = wire.pulls.pulls_len;
	batch->give_count = wire.gives.gives_len;
	return has_valid_amounts(batch) ? 0 : PST_ERR_INVALID;
}

static void send_dest(struct acctmsg_outbox *outbox, struct acctmsg_dest *dest)
{
	char bytes[ACCTMSG_MAX_BYTES];
	const size_t len = acctmsg_encode(&dest->batch, bytes);

	if (len)
		outbox->send(outbox->ctx, &dest->to,
			     (struct str){.ptr = bytes, .len = len});
	dest->batch.ask_count = 0;
	dest->batch.grant_count = 0;
	dest->batch.pull_count = 0;
	dest->batch.give_count = 0;
}

void acctmsg_put(struct acctmsg_outbox *outbox, const struct sockaddr_in *to,
		 const struct acctmsg *msg)
{
	struct acctmsg_dest *dest = outbox->dests;
	struct acctmsg_dest *end = outbox->dests + outbox->count;

	while (dest < end && (dest->to.sin_addr.s_addr != to->sin_addr.s_addr ||
			      dest->to.sin_port != to->sin_port))
		dest++;
	if (dest == end) {
		if (outbox->count == ACCTMSG_MAX_DESTS)
			acctmsg_flush(outbox);
		dest = &outbox->dests[outbox->count++];
		dest->to = *to;
	}
	if (acctmsg_add(&dest->batch, msg))
		return;
	send_dest(outbox, dest);
	acctmsg_add(&dest->batch, msg);
}

void acctmsg_flush(struct acctmsg_outbox *outbox)
{
	for (unsigned i = 0; i < outbox->count; i++)
		send_dest(outbox, &outbox->dests[i]);
	outbox->count = 0;
}
