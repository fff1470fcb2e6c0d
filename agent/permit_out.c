#include "agent/permit_out.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent/permit_ring.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcc.h"

#define LOG_MODULE    "permit.out"

#define LANES	      4
#define SUSPECT_LANE  LANES
#define LANE_CAPACITY 4096

/* Longest wait of an idle thread, and life of an unused connection. */
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

struct lane {
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
	struct lane lanes[LANES + 1];
};

static void free_mail(struct permit_mail *mail)
{
	xdr_free(mail->xargs, mail->args);
	free(mail->args);
	free(mail);
}

static void drop_client(struct client **link)
{
	struct client *client = *link;

	*link = client->next;
	rpcc_destroy(client->rpcc);
	free(client);
}

static struct client **find_client(struct lane *lane,
				   const struct permit_mail *mail)
{
	struct client **link = &lane->clients;

	while (*link &&
	       (!strbuf_eq(&(*link)->address, &mail->address) ||
		(*link)->port != mail->port || (*link)->prog != mail->prog))
		link = &(*link)->next;
	return link;
}

static struct client *open_client(struct lane *lane,
				  const struct permit_mail *mail)
{
	struct client *client = calloc(1, sizeof(*client));
	struct net_addr peer;

	if (!client)
		return NULL;
	client->address = mail->address;
	client->port = mail->port;
	client->prog = mail->prog;
	if (net_addr_make(&peer, strbuf_str(&mail->address), mail->port) ||
	    rpcc_create(&client->rpcc, lane->out->set, lane->out->clk,
			strbuf_str(&mail->region), &peer, mail->prog,
			mail->vers)) {
		free(client);
		return NULL;
	}
	client->next = lane->clients;
	lane->clients = client;
	return client;
}

static void send_one(struct lane *lane, const struct permit_mail *mail)
{
	struct client **link = find_client(lane, mail);
	struct client *client;

	if (*link && mail->reconnect)
		drop_client(link);
	link = find_client(lane, mail);
	client = *link ? *link : open_client(lane, mail);
	if (!client)
		return;
	client->used_at = clk_now(lane->out->clk);
	/* A lost message is noticed by its receiver's count of messages. */
	(void)rpcc_send(client->rpcc, mail->proc, mail->xargs, mail->args);
}

static void sweep(struct lane *lane)
{
	const apr_time_t now = clk_now(lane->out->clk);
	struct client **link = &lane->clients;

	if (now - lane->swept_at < IDLE_WAIT)
		return;
	lane->swept_at = now;
	while (*link) {
		if (now - (*link)->used_at > CLIENT_LIFETIME)
			drop_client(link);
		else
			link = &(*link)->next;
	}
}

static void *run_lane(void *arg)
{
	struct lane *lane = arg;

	while (!lane->out->stopping) {
		struct permit_mail *mail =
			permit_ring_pop(lane->ring, IDLE_WAIT);

		if (mail && mail->args) {
			send_one(lane, mail);
			free_mail(mail);
		} else {
			free(mail);
		}
		sweep(lane);
	}
	return NULL;
}

static int start_lane(struct permit_out *out, struct lane *lane)
{
	int err;

	lane->out = out;
	err = permit_ring_create(&lane->ring, LANE_CAPACITY);
	if (err)
		return err;
	if (pthread_create(&lane->thread, NULL, run_lane, lane))
		return PST_ERR_THREAD;
	lane->started = true;
	return 0;
}

static void stop_lane(struct lane *lane)
{
	struct permit_mail *mail;

	if (lane->started) {
		/* An empty message ends the wait. */
		mail = calloc(1, sizeof(*mail));
		if (mail && !permit_ring_push(lane->ring, mail))
			free(mail);
		pthread_join(lane->thread, NULL);
	}
	while (lane->ring && (mail = permit_ring_pop(lane->ring, 0))) {
		if (mail->args)
			free_mail(mail);
		else
			free(mail);
	}
	permit_ring_destroy(lane->ring);
	while (lane->clients)
		drop_client(&lane->clients);
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
	for (size_t i = 0; i <= LANES && !err; i++)
		err = start_lane(o, &o->lanes[i]);
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
	for (size_t i = 0; i <= LANES; i++)
		stop_lane(&out->lanes[i]);
	free(out);
}

int permit_out_send(struct permit_out *out, const struct permit_mail *mail)
{
	struct permit_mail *copy = malloc(sizeof(*copy));
	size_t lane = SUSPECT_LANE;

	if (!copy) {
		xdr_free(mail->xargs, mail->args);
		free(mail->args);
		return PST_ERR_NOMEM;
	}
	*copy = *mail;
	if (!mail->suspect)
		lane = str_hash(strbuf_str(&mail->address), 0) % LANES;
	if (permit_ring_push(out->lanes[lane].ring, copy))
		return 0;
	free_mail(copy);
	evt_log(BROKER_RING_FULL, "ring=permit_out");
	return PST_ERR_FULL;
}
