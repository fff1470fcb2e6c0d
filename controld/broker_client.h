/*
 * An entry VM as a client of the brokers of this VM: the answers collected
 * for it, and which of the answers sent it has confirmed.
 */
#ifndef CONTROLD_BROKER_CLIENT_H
#define CONTROLD_BROKER_CLIENT_H

#include "agent/permit_out.h"
#include "policy/broker_map.h"
#include "schema/gen/permit.h"

struct broker_client {
	struct broker_client *next;
	struct broker_node by_name;
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

struct broker_clients {
	struct broker_client *first;
	struct broker_map by_name;
};

/* Returns 0 or PST_ERR_NOMEM. */
int broker_clients_init(struct broker_clients *clients);
void broker_clients_done(struct broker_clients *clients);

/* NULL when there is none. */
struct broker_client *broker_client_find(const struct broker_clients *clients,
					 struct str entry);

/* The entry VM must not be a client yet. NULL when memory is out. */
struct broker_client *broker_client_add(struct broker_clients *clients,
					struct str entry, apr_time_t now);
/* Drops *link, where link is &clients->first or the next of a client. */
void broker_client_drop(struct broker_clients *clients,
			struct broker_client **link);

/*
 * Returns the sender of a batch, added if it is new. Answers collected for an
 * earlier incarnation are dropped. NULL when memory is out.
 */
struct broker_client *broker_client_of_batch(struct broker_clients *clients,
					     const pmt_batch *batch,
					     const struct strbuf *address,
					     apr_time_t now);

/* Notes that the answers up to sequence number heard have arrived. */
void broker_client_confirm(struct broker_client *c, uint64_t heard,
			   apr_time_t now);

/* Moves the collected answers into a message to the entry VM. */
void broker_client_fill_mail(struct broker_client *c,
			     struct permit_message *mail, apr_time_t now);

#endif
