#include "controld/broker_client.h"

#include <stddef.h>
#include <stdlib.h>

/* Age of unconfirmed answers at which a new connection is opened. */
#define CONFIRM_TIMEOUT CLK_MS(1000)

/* Silence after which an entry VM is suspected of being unreachable. */
#define SILENCE_TIMEOUT CLK_MS(2000)

/* Seed of the hash of entry VMs' names. */
#define NAME_SEED 0x636c69656e7473u

#define FROM_NODE(node)                                    \
	((struct broker_client *)((char *)(node)-offsetof( \
		struct broker_client, by_name)))

static void drop_answers(struct broker_client *c)
{
	if (c->answers)
		xdr_free((xdrproc_t)xdr_pmt_answers, c->answers);
	free(c->answers);
	c->answers = NULL;
}

int broker_clients_init(struct broker_clients *clients)
{
	clients->first = NULL;
	return broker_map_init(&clients->by_name);
}

void broker_clients_done(struct broker_clients *clients)
{
	while (clients->first)
		broker_client_drop(clients, &clients->first);
	broker_map_done(&clients->by_name);
}

struct broker_client *broker_client_find(const struct broker_clients *clients,
					 struct str entry)
{
	struct broker_node *node = broker_map_find(
		&clients->by_name, str_hash(entry, NAME_SEED), entry.len);

	return node ? FROM_NODE(node) : NULL;
}

struct broker_client *broker_client_add(struct broker_clients *clients,
					struct str entry, apr_time_t now)
{
	struct broker_client *c = calloc(1, sizeof(*c));

	if (!c || strbuf_set(&c->entry, entry)) {
		free(c);
		return NULL;
	}
	c->heard_at = now;
	c->next = clients->first;
	clients->first = c;
	broker_map_add(&clients->by_name, &c->by_name,
		       str_hash(entry, NAME_SEED), entry.len);
	return c;
}

void broker_client_drop(struct broker_clients *clients,
			struct broker_client **link)
{
	struct broker_client *c = *link;

	*link = c->next;
	broker_map_remove(&clients->by_name, &c->by_name);
	drop_answers(c);
	free(c);
}

struct broker_client *broker_client_of_batch(struct broker_clients *clients,
					     const pmt_batch *batch,
					     const struct strbuf *address,
					     apr_time_t now)
{
	const struct str entry = str_from_c(batch->entry);
	struct broker_client *c = broker_client_find(clients, entry);

	if (!c)
		c = broker_client_add(clients, entry, now);
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

void broker_client_confirm(struct broker_client *c, uint64_t heard,
			   apr_time_t now)
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

void broker_client_fill_mail(struct broker_client *c,
			     struct permit_message *mail, apr_time_t now)
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
