/*
 * A VM with a broker, as seen by an entry VM: the batch that is being collected
 * for it, and the detection of its silence.
 */
#ifndef AGENT_PERMIT_PEER_H
#define AGENT_PERMIT_PEER_H

#include "agent/permit_state.h"

struct permit_peer {
	struct permit_peer *next;
	struct strbuf vm;
	struct strbuf address;
	struct strbuf region;
	/* Incarnation of the broker's process; 0 before its first answer. */
	uint64_t incarnation;
	uint64_t sent_seq;
	uint64_t received_seq;
	/*
	 * When the first message that expects an answer was sent since the
	 * last answer; 0 when no answer is expected.
	 */
	apr_time_t unanswered_since;
	/* Estimate of the best recent round-trip time; 0 if unknown. */
	apr_interval_time_t round_trip;
	apr_time_t pinged_at;
	apr_time_t synced_at;
	/* A ping was sent because an answer is overdue. */
	bool probed;
	bool silent;
	apr_time_t silent_since;
	/* How to send the next batch; the fields are those of its message. */
	bool ping;
	bool suspect;
	bool reconnect;
	/* The next batch, or NULL; round is its number. */
	pmt_batch *batch;
	uint64_t round;
};

enum permit_peer_change {
	PERMIT_PEER_SAME,
	PERMIT_PEER_SILENT,
	/* A silent peer answers again. */
	PERMIT_PEER_BACK,
	/* Messages were lost, or the peer has restarted. */
	PERMIT_PEER_RESYNC,
};

/* Returns NULL when memory is out. */
struct permit_peer *permit_peer_create(const struct vm *vm);
void permit_peer_destroy(struct permit_peer *peer);

/* Returns the next batch to be sent, or NULL when memory is out. */
pmt_batch *permit_peer_batch(struct permit_peer *peer,
			     const struct permit_state_cfg *cfg);

enum permit_peer_change permit_peer_received(struct permit_peer *peer,
					     const pmt_answers *answers,
					     apr_time_t now);
enum permit_peer_change permit_peer_tick(struct permit_peer *peer,
					 const struct permit_state_cfg *cfg,
					 apr_time_t now);
void permit_peer_flush(struct permit_peer *peer,
		       const struct permit_state_cfg *cfg,
		       const struct permit_io *io, apr_time_t now);

#endif
