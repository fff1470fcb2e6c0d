#include "agent/permit_out.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent/permit_ring.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcc.h"

#define LOG_MODULE	"permit.out"

#define SENDERS		4
#define SUSPECT_SENDER	SENDERS
#define SENDER_CAPACITY 4096

/* Longest wait of an idle thread, and lifetime of an unused connection. */
#define IDLE_WAIT	CLK_SEC(1)
#define CLIENT_LIFETIME CLK_SEC(60)

struct client {
	struct client *next;
	struct strbuf address;
	uint16_t port;
	rpcprog_t prog;
	struct rpcc *rpcc;
	apr_time_t used_at;
};

struct sender {
	struct permit_out *out;
	struct permit_ring *ring;
	struct client *clients;
	apr_time_t swept_at;
	pthread_t thread;
	bool started;
};

struct permit_out {
	const struct settings *set;
	const struct clk *clk;
	atomic_bool stopping;
	struct sender senders[SENDERS + 1];
};

static void free_message(struct permit_message *message)
{
	xdr_free(message->xargs, message->args);
	free(message->args);
	free(message);
}

static void drop_client(struct client **link)
{
	struct client *client = *link;

	*link = client->next;
	rpcc_destroy(client->rpcc);
	free(client);
}

static struct client **find_client(struct sender *sender,
				   const struct permit_message *message)
{
	struct client **link = &sender->clients;

	while (*link && (!strbuf_eq(&(*link)->address, &message->address) ||
			 (*link)->port != message->port ||
			 (*link)->prog != message->prog))
		link = &(*link)->next;
	return link;
}

static struct client *open_client(struct sender *sender,
				  const struct permit_message *message)
{
	struct client *client = calloc(1, sizeof(*client));
	struct net_addr peer;

	if (!client)
		return NULL;
	client->address = message->address;
	client->port = message->port;
	client->prog = message->prog;
	if (net_addr_make(&peer, strbuf_str(&message->address),
			  message->port) ||
	    rpcc_create(&client->rpcc, sender->out->set, sender->out->clk,
			strbuf_str(&message->region), &peer, message->prog,
			message->vers)) {
		free(client);
		return NULL;
	}
	client->next = sender->clients;
	sender->clients = client;
	return client;
}

static void send_one(struct sender *sender,
		     const struct permit_message *message)
{
	struct client **link = find_client(sender, message);
	struct client *client;

	if (*link && message->reconnect)
		drop_client(link);
	link = find_client(sender, message);
	client = *link ? *link : open_client(sender, message);
	if (!client)
		return;
	client->used_at = clk_now(sender->out->clk);
	/* The receiver detects a lost message by the sequence numbers. */
	(void)rpcc_send(client->rpcc, message->proc, message->xargs,
			message->args);
}

static void sweep(struct sender *sender)
{
	const apr_time_t now = clk_now(sender->out->clk);
	struct client **link = &sender->clients;

	if (now - sender->swept_at < IDLE_WAIT)
		return;
	sender->swept_at = now;
	while (*link) {
		if (now - (*link)->used_at > CLIENT_LIFETIME)
			drop_client(link);
		else
			link = &(*link)->next;
	}
}

static void *run_sender(void *arg)
{
	struct sender *sender = arg;

	while (!sender->out->stopping) {
		struct permit_message *message =
			permit_ring_pop(sender->ring, IDLE_WAIT);

		if (message && message->args) {
			send_one(sender, message);
			free_message(message);
		} else {
			free(message);
		}
		sweep(sender);
	}
	return NULL;
}

static int start_sender(struct permit_out *out, struct sender *sender)
{
	int err;

	sender->out = out;
	err = permit_ring_create(&sender->ring, SENDER_CAPACITY);
	if (err)
		return err;
	if (pthread_create(&sender->thread, NULL, run_sender, sender))
		return PST_ERR_THREAD;
	sender->started = true;
	return 0;
}

static void stop_sender(struct sender *sender)
{
	struct permit_message *message;

	if (sender->started) {
		/* A message without args only wakes up the thread. */
		message = calloc(1, sizeof(*message));
		if (message && !permit_ring_push(sender->ring, message))
			free(message);
		pthread_join(sender->thread, NULL);
	}
	while (sender->ring && (message = permit_ring_pop(sender->ring, 0))) {
		if (message->args)
			free_message(message);
		else
			free(message);
	}
	permit_ring_destroy(sender->ring);
	while (sender->clients)
		drop_client(&sender->clients);
}

int permit_out_start(struct permit_out **out, const struct settings *set,
		     const struct clk *clk)
{
	struct permit_out *o = calloc(1, sizeof(*o));
	int err = 0;

	if (!o)
		return PST_ERR_NOMEM;
	o->set = set;
	o->clk = clk;
	for (size_t i = 0; i <= SENDERS && !err; i++)
		err = start_sender(o, &o->senders[i]);
	if (err) {
		permit_out_stop(o);
		return err;
	}
	*out = o;
	return 0;
}

void permit_out_stop(struct permit_out *out)
{
	if (!out)
		return;
	out->stopping = true;
	for (size_t i = 0; i <= SENDERS; i++)
		stop_sender(&out->senders[i]);
	free(out);
}

int permit_out_send(struct permit_out *out,
		    const struct permit_message *message)
{
	struct permit_message *copy = malloc(sizeof(*copy));
	size_t sender = SUSPECT_SENDER;

	if (!copy) {
		xdr_free(message->xargs, message->args);
		free(message->args);
		return PST_ERR_NOMEM;
	}
	*copy = *message;
	if (!message->suspect)
		sender = str_hash(strbuf_str(&message->address), 0) % SENDERS;
	if (permit_ring_push(out->senders[sender].ring, copy))
		return 0;
	free_message(copy);
	evt_log(BROKER_RING_FULL, "ring=permit_out");
	return PST_ERR_FULL;
}
