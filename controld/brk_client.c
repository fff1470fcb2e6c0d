#include "controld/brk_client.h"

#include <stddef.h>
#include <stdlib.h>

/* Age of unconfirmed answers at which a new connection is opened. */
#define CONFIRM_TIMEOUT CLK_MS(1000)

/* Silence after which an entry VM is suspected of being unreachable. */
#define SILENCE_TIMEOUT CLK_MS(2000)

/* Seed of the hash of entry VMs' names. */
#define NAME_SEED 0x636c69656e7473u

#define FROM_NODE(node)                                                   \
	((struct brk_client *)((char *)(node)-offsetof(struct brk_client, \
						       by_name)))

static void drop_answers(struct brk_client *c)
{
	if (c->answers)
		xdr_free((xdrproc_t)xdr_pmt_answers, c->answers);
	free(c->answers);
	c->answers = NULL;
}

int brk_clients_init(struct brk_clients *clients)
{
	clients->first = NULL;
	return brk_map_init(&clients->by_name);
}

void brk_clients_done(struct brk_clients *clients)
{
	while (clients->first)
		brk_client_drop(clients, &clients->first);
	brk_map_done(&clients->by_name);
}

struct brk_client *brk_client_find(const struct brk_clients *clients,
				   struct str entry)
{
	struct brk_node *node = brk_map_find(
		&clients->by_name, str_hash(entry, NAME_SEED), entry.len);

	return node ? FROM_NODE(node) : NULL;
}

struct brk_client *brk_client_add(struct brk_clients *clients, struct str entry,
				  apr_time_t now)
{
	struct brk_client *c = calloc(1, sizeof(*c));

	if (!c || strbuf_set(&c->entry, entry)) {
		free(c);
		return NULL;
	}
	c->heard_at = now;
	c->next = clients->first;
	clients->first = c;
	brk_map_add(&clients->by_name, &c->by_name, str_hash(entry, NAME_SEED),
		    entry.len);
	return c;
}

void brk_client_drop(struct brk_clients *clients, struct brk_client **link)
{
	struct brk_client *c = *link;

	*link = c->next;
	brk_map_remove(&clients->by_name, &c->by_name);
	drop_answers(c);
	free(c);
}

struct brk_client *brk_client_of_batch(struct brk_clients *clients,
				       const pmt_batch *batch,
				       const struct strbuf *address,
				       apr_time_t now)
{
	const struct str entry = str_from_c(batch->entry);
	struct brk_client *c = brk_client_find(clients, entry);

	if (!c)
		c = brk_client_add(clients, entry, now);
	if (!c)
		return NULL;
	if (c->incarnation != batch->incarnation) {
		drop_answers(c);
		c->incarnation = batch->incarnation;
		c->received_seq = batch->seq - 1;
		c->unconfirmed_since = 0;
		c->resync = false;
	}
	strbuf_set(&c->region, str_from_c(batch->region));
	c->address = *address;
	c->heard_at = now;
	c->round_trip = (apr_interval_time_t)batch->round_trip_us;
	return c;
}

void brk_client_confirm(struct brk_client *c, uint64_t heard, apr_time_t now)
{
	if (heard >= c->sent_seq) {
		c->unconfirmed_since = 0;
	} else if (heard >= c->oldest_unconfirmed) {
		c->oldest_unconfirmed = heard + 1;
		c->unconfirmed_since = now;
	} else if (c->unconfirmed_since &&
		   now - c->unconfirmed_since > CONFIRM_TIMEOUT) {
		c->reconnect = true;
	}
}

void brk_client_fill_mail(struct brk_client *c, struct permit_message *mail,
			  apr_time_t now)
{
	c->answers->seq = ++c->sent_seq;
	c->answers->resync = c->resync;
	if (!c->unconfirmed_since || c->reconnect) {
		c->oldest_unconfirmed = c->sent_seq;
		c->unconfirmed_since = now;
	}
	mail->address = c->address;
	mail->region = c->region;
	mail->reconnect = c->reconnect;
	mail->suspect = now - c->heard_at > SILENCE_TIMEOUT;
	mail->args = c->answers;
	c->answers = NULL;
	c->reconnect = false;
	c->resync = false;
	c->answer_due = false;
}
