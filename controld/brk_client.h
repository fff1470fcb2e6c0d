/*
 * An entry VM as a client of the brokers of this VM: the answers collected
 * for it, and which of the answers sent it has confirmed.
 */
#ifndef CONTROLD_BRK_CLIENT_H
#define CONTROLD_BRK_CLIENT_H

#include "agent/permit_out.h"
#include "policy/brk_map.h"
#include "schema/gen/permit.h"

struct brk_client {
	struct brk_client *next;
	struct brk_node by_name;
	struct strbuf entry;
	struct strbuf region;
	struct strbuf address;
	/* Incarnation of the entry process; 0 before its first message. */
	uint64_t incarnation;
	/* Sequence numbers of the last batch received and answers sent. */
	uint64_t received_seq;
	uint64_t sent_seq;
	/* The oldest unconfirmed answers, and when they were sent. */
	uint64_t oldest_unconfirmed;
	apr_time_t unconfirmed_since;
	bool reconnect;
	/* A message must be sent, even an empty one. */
	bool answer_due;
	/* The entry VM is to send its full state again. */
	bool resync;
	apr_time_t heard_at;
	/* Round-trip time measured by the entry VM; 0 when unknown. */
	apr_interval_time_t round_trip;
	/* NULL when nothing is collected. */
	pmt_answers *answers;
};

struct brk_clients {
	struct brk_client *first;
	struct brk_map by_name;
};

/* Returns 0 or PST_ERR_NOMEM. */
int brk_clients_init(struct brk_clients *clients);
void brk_clients_done(struct brk_clients *clients);

/* NULL when there is none. */
struct brk_client *brk_client_find(const struct brk_clients *clients,
				   struct str entry);

/* The entry VM must not be a client yet. NULL when memory is out. */
struct brk_client *brk_client_add(struct brk_clients *clients, struct str entry,
				  apr_time_t now);
/* Drops *link, where link is &clients->first or the next of a client. */
void brk_client_drop(struct brk_clients *clients, struct brk_client **link);

/*
 * Returns the sender of a batch, added if it is new. Answers collected for an
 * earlier incarnation are dropped. NULL when memory is out.
 */
struct brk_client *brk_client_of_batch(struct brk_clients *clients,
				       const pmt_batch *batch,
				       const struct strbuf *address,
				       apr_time_t now);

/* Notes that the answers up to sequence number heard have arrived. */
void brk_client_confirm(struct brk_client *c, uint64_t heard, apr_time_t now);

/* Moves the collected answers into a message to the entry VM. */
void brk_client_fill_mail(struct brk_client *c, struct permit_message *mail,
			  apr_time_t now);

#endif
