#include "controld/brk_client.h"

#include <stdlib.h>

/* Time after which unconfirmed answers are sent on a new connection. */
#define CONFIRM_TIMEOUT CLK_MS(1000)

/* Time of quiet after which connecting to an entry VM may be slow. */
#define QUIET_TIMEOUT CLK_MS(2000)

static void drop_answers(struct brk_client *c)
{
	if (c->answers)
		xdr_free((xdrproc_t)xdr_pmt_answers, c->answers);
	free(c->answers);
	c->answers = NULL;
}

struct brk_client *brk_client_find(struct brk_client *first, struct str entry)
{
	while (first && !str_eq(strbuf_str(&first->entry), entry))
		first = first->next;
	return first;
}

struct brk_client *brk_client_add(struct brk_client **first, struct str entry,
				  apr_time_t now)
{
	struct brk_client *c = calloc(1, sizeof(*c));

	if (!c || strbuf_set(&c->entry, entry)) {
		free(c);
		return NULL;
	}
	c->heard_at = now;
	c->next = *first;
	*first = c;
	return c;
}

void brk_client_drop(struct brk_client **link)
{
	struct brk_client *c = *link;

	*link = c->next;
	drop_answers(c);
	free(c);
}

struct brk_client *brk_client_for(struct brk_client **first,
				  const pmt_batch *batch,
				  const struct strbuf *address, apr_time_t now)
{
	const struct str entry = str_from_c(batch->entry);
	struct brk_client *c = brk_client_find(*first, entry);

	if (!c)
		c = brk_client_add(first, entry, now);
	if (!c)
		return NULL;
	if (c->incarnation != batch->incarnation) {
		drop_answers(c);
		c->incarnation = batch->incarnation;
		c->got_seq = batch->seq - 1;
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
	} else if (heard >= c->unconfirmed_seq) {
		c->unconfirmed_seq = heard + 1;
		c->unconfirmed_since = now;
	} else if (c->unconfirmed_since &&
		   now - c->unconfirmed_since > CONFIRM_TIMEOUT) {
		c->reconnect = true;
	}
}

void brk_client_take(struct brk_client *c, struct permit_mail *mail,
		     apr_time_t now)
{
	c->answers->seq = ++c->sent_seq;
	c->answers->resync = c->resync;
	if (!c->unconfirmed_since || c->reconnect) {
		c->unconfirmed_seq = c->sent_seq;
		c->unconfirmed_since = now;
	}
	mail->address = c->address;
	mail->region = c->region;
	mail->reconnect = c->reconnect;
	mail->suspect = now - c->heard_at > QUIET_TIMEOUT;
	mail->args = c->answers;
	c->answers = NULL;
	c->reconnect = false;
	c->resync = false;
	c->wanted = false;
}
