/*
 * One broker's VM as an entry VM sees it: the batch being collected for it,
 * and whether it shows signs of life.
 */
#ifndef AGENT_PERMIT_PEER_H
#define AGENT_PERMIT_PEER_H

#include "agent/permit_state.h"

struct permit_peer {
	struct permit_peer *next;
	struct strbuf vm;
	struct strbuf address;
	struct strbuf region;
	/* Of the broker's process; 0 before its first answer. */
	uint64_t incarnation;
	uint64_t sent_seq;
	uint64_t heard_seq;
	/* First message that is still without a sign of life, or 0. */
	apr_time_t owed_since;
	/* There and back, of late at best; 0 before the first answer. */
	apr_interval_time_t round_trip;
	apr_time_t pinged_at;
	apr_time_t synced_at;
	bool probed;
	bool silent;
	apr_time_t silent_since;
	/* How the next batch is to be sent. */
	bool ping;
	bool suspect;
	bool reconnect;
	/* NULL when nothing is collected; round counts the batches. */
	pmt_batch *batch;
	uint64_t round;
};

enum permit_peer_change {
	PERMIT_PEER_SAME,
	PERMIT_PEER_SILENT,
	/* It answers again. */
	PERMIT_PEER_BACK,
	/* Messages were lost, or it has restarted. */
	PERMIT_PEER_RESYNC,
};

/* NULL when memory is out. */
struct permit_peer *permit_peer_create(const struct vm *vm);
void permit_peer_destroy(struct permit_peer *peer);

/* The batch that goes out next, or NULL when memory is out. */
pmt_batch *permit_peer_batch(struct permit_peer *peer,
			     const struct permit_state_cfg *cfg);

enum permit_peer_change permit_peer_heard(struct permit_peer *peer,
					  const pmt_answers *answers,
					  apr_time_t now);
enum permit_peer_change permit_peer_tick(struct permit_peer *peer,
					 const struct permit_state_cfg *cfg,
					 apr_time_t now);
void permit_peer_flush(struct permit_peer *peer,
		       const struct permit_state_cfg *cfg,
		       const struct permit_io *io, apr_time_t now);

#endif
