#include "agent/permit_peer.h"

#include <stdlib.h>

#include "agent/permit_batch.h"

/* Pings of a silent peer in each silent_timeout. */
#define PINGS_PER_TIMEOUT 2

/* Divisor of the difference by which a longer round trip counts. */
#define ROUND_TRIP_DIVISOR 64

/*
 * The time-out for the first answer is longer by this factor, because opening
 * the connection takes more round trips.
 */
#define FIRST_CONTACT_FACTOR 2

struct permit_peer *permit_peer_create(const struct vm *vm)
{
	struct permit_peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		return NULL;
	peer->vm = vm->id;
	peer->address = vm->address;
	peer->region = vm->region;
	return peer;
}

static void drop_batch(struct permit_peer *peer)
{
	if (!peer->batch)
		return;
	xdr_free((xdrproc_t)xdr_pmt_batch, peer->batch);
	free(peer->batch);
	peer->batch = NULL;
}

void permit_peer_destroy(struct permit_peer *peer)
{
	drop_batch(peer);
	free(peer);
}

pmt_batch *permit_peer_batch(struct permit_peer *peer,
			     const struct permit_state_cfg *cfg)
{
	if (peer->batch)
		return peer->batch;
	peer->round++;
	peer->batch =
		permit_batch_new(cfg->entry, cfg->region, cfg->incarnation);
	return peer->batch;
}

/* Takes over a shorter round-trip time at once, a longer one gradually. */
static void measure_round_trip(struct permit_peer *peer, apr_time_t now)
{
	const apr_interval_time_t took = now - peer->unanswered_since;

	if (!peer->unanswered_since || peer->probed || peer->silent)
		return;
	if (!peer->round_trip || took < peer->round_trip)
		peer->round_trip = took > 0 ? took : 1;
	else
		peer->round_trip +=
			(took - peer->round_trip) / ROUND_TRIP_DIVISOR;
}

enum permit_peer_change permit_peer_received(struct permit_peer *peer,
					     const pmt_answers *answers,
					     apr_time_t now)
{
	enum permit_peer_change change = PERMIT_PEER_SAME;

	if (answers->resync)
		change = PERMIT_PEER_RESYNC;
	if (peer->incarnation != answers->incarnation) {
		if (peer->incarnation)
			change = PERMIT_PEER_RESYNC;
		peer->incarnation = answers->incarnation;
		peer->received_seq = answers->seq;
	}
	if (answers->seq > peer->received_seq + 1)
		change = PERMIT_PEER_RESYNC;
	if (answers->seq > peer->received_seq)
		peer->received_seq = answers->seq;
	measure_round_trip(peer, now);
	peer->unanswered_since = 0;
	if (peer->silent)
		change = PERMIT_PEER_BACK;
	if (peer->probed || peer->silent)
		peer->reconnect = true;
	peer->probed = false;
	peer->silent = false;
	return change;
}

static void ping(struct permit_peer *peer, apr_time_t now)
{
	peer->ping = true;
	peer->suspect = true;
	peer->reconnect = true;
	peer->pinged_at = now;
}

enum permit_peer_change permit_peer_tick(struct permit_peer *peer,
					 const struct permit_state_cfg *cfg,
					 apr_time_t now)
{
	const bool known = peer->incarnation != 0;
	const apr_interval_time_t ping_interval =
		cfg->silent_timeout / PINGS_PER_TIMEOUT;
	const apr_interval_time_t timeout =
		cfg->silent_timeout * (known ? 1 : FIRST_CONTACT_FACTOR);

	if (peer->silent) {
		if (now - peer->pinged_at >= ping_interval)
			ping(peer, now);
		return PERMIT_PEER_SAME;
	}
	if (!peer->unanswered_since)
		return PERMIT_PEER_SAME;
	if (now - peer->unanswered_since >= timeout) {
		peer->silent = true;
		peer->silent_since = peer->unanswered_since;
		drop_batch(peer);
		ping(peer, now);
		return PERMIT_PEER_SILENT;
	}
	if (known && !peer->probed &&
	    now - peer->unanswered_since >= ping_interval) {
		peer->probed = true;
		ping(peer, now);
	}
	return PERMIT_PEER_SAME;
}

static bool expects_answer(const pmt_batch *batch)
{
	if (batch->ping)
		return true;
	for (u_int i = 0; i < batch->parts.parts_len; i++) {
		if (batch->parts.parts_val[i].asks.asks_len)
			return true;
	}
	return false;
}

void permit_peer_flush(struct permit_peer *peer,
		       const struct permit_state_cfg *cfg,
		       const struct permit_io *io, apr_time_t now)
{
	struct permit_message message = {
		.address = peer->address,
		.port = cfg->broker_port,
		.region = peer->region,
		.prog = PMT_PROG_BROKER,
		.vers = PMT_VERS,
		.proc = PMT_PROC_BATCH,
		.xargs = (xdrproc_t)xdr_pmt_batch,
		.suspect = peer->suspect,
		.reconnect = peer->reconnect,
	};

	if (peer->ping)
		permit_peer_batch(peer, cfg);
	if (!peer->batch)
		return;
	peer->batch->seq = ++peer->sent_seq;
	peer->batch->heard = peer->received_seq;
	peer->batch->round_trip_us = (uint64_t)peer->round_trip;
	peer->batch->ping = peer->ping;
	if (!peer->unanswered_since && expects_answer(peer->batch))
		peer->unanswered_since = now;
	message.args = peer->batch;
	peer->batch = NULL;
	peer->ping = false;
	peer->suspect = false;
	peer->reconnect = false;
	io->send(io->ctx, &message);
}
