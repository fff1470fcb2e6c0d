/*
 * An entry VM as the brokers of a VM see it: the answers being collected for
 * it, and whether it gets them.
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
	/* Of the entry process; 0 before its first message. */
	uint64_t incarnation;
	uint64_t got_seq;
	uint64_t sent_seq;
	/* The oldest answers without confirmation, and when they were sent. */
	uint64_t unconfirmed_seq;
	apr_time_t unconfirmed_since;
	bool reconnect;
	/* An answer is due, even an empty one. */
	bool wanted;
	/* It is to send everything again. */
	bool resync;
	apr_time_t heard_at;
	/* As it measures it; 0 when not known. */
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
/* Drops them all. */
void brk_clients_done(struct brk_clients *clients);

/* NULL when there is none. */
struct brk_client *brk_client_find(const struct brk_clients *clients,
				   struct str entry);

/* It must not be there yet. NULL when memory is out. */
struct brk_client *brk_client_add(struct brk_clients *clients, struct str entry,
				  apr_time_t now);
/* Drops the one that link, the list's start or a next, leads to. */
void brk_client_drop(struct brk_clients *clients, struct brk_client **link);

/*
 * The sender of a batch, added if it is new; a new incarnation forgets what
 * was collected for the old one. NULL when memory is out.
 */
struct brk_client *brk_client_for(struct brk_clients *clients,
				  const pmt_batch *batch,
				  const struct strbuf *address, apr_time_t now);

/* Takes in the highest number of the answers that have arrived. */
void brk_client_confirm(struct brk_client *c, uint64_t heard, apr_time_t now);

/* Moves what was collected into a message to the entry VM. */
void brk_client_take(struct brk_client *c, struct permit_mail *mail,
		     apr_time_t now);

#endif
