#include "fakes/caller/look.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/err.h"
#include "common/str.h"

#define LOOKUP_TIMEOUT_MS 1000
#define TICKET_TIMEOUT_MS 1500
#define TICKETS_A_CALL	  16
#define MAX_ENTRIES	  256
#define RETRY_MS	  200

TAILQ_HEAD(waits, discovery_wait);

/* The cached entry VMs for one service and block. */
struct answer {
	TAILQ_ENTRY(answer) link;
	struct discovery *discovery;
	struct strbuf service;
	uint32_t block;
	char urls[DISCOVERY_ENTRIES][DISCOVERY_URL_BYTES];
	size_t count;
	apr_time_t expires;
	bool fetching;
	uint32_t failures;
	struct waits waits;
	struct httpcall_call call;
};

/* Unused tickets of one entry VM. */
struct stock {
	struct discovery *discovery;
	char url[DISCOVERY_URL_BYTES];
	char tickets[TICKETS_A_CALL][DISCOVERY_TICKET_BYTES];
	size_t count;
	bool fetching;
	struct waits waits;
	struct httpcall_call call;
};

struct discovery {
	struct evloop *loop;
	struct httpcall *httpcall;
	const struct discovery_config *config;
	TAILQ_HEAD(, answer) answers;
	struct stock *stocks[MAX_ENTRIES];
	size_t stock_count;
	uint64_t stale_uses;
};

static void notify_waiters(struct waits *waits, bool ok)
{
	struct waits now;
	struct discovery_wait *wait;

	TAILQ_INIT(&now);
	TAILQ_CONCAT(&now, waits, link);
	while ((wait = TAILQ_FIRST(&now))) {
		TAILQ_REMOVE(&now, wait, link);
		wait->ready(wait, ok);
	}
}

static void take_answer(struct answer *answer, json_t *root)
{
	json_t *entry;
	json_int_t ttl = 0;
	size_t i;

	json_unpack(root, "{s:I}", "ttl_ms", &ttl);
	answer->count = 0;
	json_array_foreach(json_object_get(root, "entries"), i, entry)
	{
		const char *url =
			json_string_value(json_object_get(entry, "url"));

		if (url && answer->count < DISCOVERY_ENTRIES)
			snprintf(answer->urls[answer->count++],
				 DISCOVERY_URL_BYTES, "%s", url);
	}
	answer->failures = 0;
	answer->expires = evloop_now(answer->discovery->loop) + CLK_MS(ttl);
}

static void on_answer(struct httpcall_call *call)
{
	struct answer *answer =
		(struct answer *)(void *)((char *)call -
					  offsetof(struct answer, call));
	struct discovery *discovery = answer->discovery;
	json_t *root = NULL;

	answer->fetching = false;
	if (call->code == CURLE_OK && call->status == 200)
		root = json_loadb(call->kept, call->kept_len, 0, NULL);
	if (json_array_size(json_object_get(root, "entries"))) {
		take_answer(answer, root);
	} else {
		answer->failures++;
		answer->expires =
			evloop_now(discovery->loop) + CLK_MS(RETRY_MS);
		if (answer->count)
			discovery->stale_uses++;
	}
	json_decref(root);
	notify_waiters(&answer->waits, answer->count > 0);
}

static void ask(struct answer *answer)
{
	struct discovery *discovery = answer->discovery;
	struct httpcall_call *call = &answer->call;
	const size_t index = (answer->block + answer->failures) %
			     discovery->config->url_count;

	answer->fetching = true;
	memset(call, 0, sizeof(*call));
	snprintf(call->url, sizeof(call->url),
		 "%s/v1/lookup?service=%s&block=block-%u",
		 discovery->config->urls[index], answer->service.ptr,
		 answer->block);
	call->method = "GET";
	call->timeout_ms = LOOKUP_TIMEOUT_MS;
	call->done = on_answer;
	httpcall_start(discovery->httpcall, call);
}

static struct answer *find_answer(struct discovery *discovery,
				  struct str service, uint32_t block)
{
	struct answer *answer;

	TAILQ_FOREACH(answer, &discovery->answers, link)
	{
		if (answer->block == block &&
		    str_eq(strbuf_str(&answer->service), service))
			return answer;
	}
	answer = calloc(1, sizeof(*answer));
	if (!answer)
		abort();
	answer->discovery = discovery;
	answer->block = block;
	strbuf_set(&answer->service, service);
	TAILQ_INIT(&answer->waits);
	TAILQ_INSERT_TAIL(&discovery->answers, answer, link);
	return answer;
}

int discovery_create(struct discovery **out, struct evloop *loop,
		     struct httpcall *httpcall,
		     const struct discovery_config *config)
{
	struct discovery *discovery = calloc(1, sizeof(*discovery));

	if (!discovery)
		return PST_ERR_NOMEM;
	discovery->loop = loop;
	discovery->httpcall = httpcall;
	discovery->config = config;
	TAILQ_INIT(&discovery->answers);
	*out = discovery;
	return 0;
}

size_t discovery_entries(struct discovery *discovery, struct str service,
			 uint32_t block, const char *urls[DISCOVERY_ENTRIES],
			 struct discovery_wait *wait)
{
	struct answer *answer;

	if (!discovery->config->url_count) {
		urls[0] = discovery->config->direct;
		return 1;
	}
	answer = find_answer(discovery, service, block);
	if (answer->expires <= evloop_now(discovery->loop) && !answer->fetching)
		ask(answer);
	if (!answer->count) {
		TAILQ_INSERT_TAIL(&answer->waits, wait, link);
		return 0;
	}
	for (size_t i = 0; i < answer->count; i++)
		urls[i] = answer->urls[i];
	return answer->count;
}

static void on_tickets(struct httpcall_call *call)
{
	struct stock *stock =
		(struct stock *)(void *)((char *)call -
					 offsetof(struct stock, call));
	json_t *root = NULL;
	json_t *ticket;
	size_t i;

	stock->fetching = false;
	if (call->code == CURLE_OK && call->status == 200)
		root = json_loadb(call->kept, call->kept_len, 0, NULL);
	json_array_foreach(json_object_get(root, "tickets"), i, ticket)
	{
		if (json_is_string(ticket) && stock->count < TICKETS_A_CALL)
			snprintf(stock->tickets[stock->count++],
				 DISCOVERY_TICKET_BYTES, "%s",
				 json_string_value(ticket));
	}
	json_decref(root);
	notify_waiters(&stock->waits, stock->count > 0);
}

static struct stock *find_stock(struct discovery *discovery, const char *url)
{
	struct stock *stock;

	for (size_t i = 0; i < discovery->stock_count; i++) {
		if (!strcmp(discovery->stocks[i]->url, url))
			return discovery->stocks[i];
	}
	if (discovery->stock_count == MAX_ENTRIES)
		abort();
	stock = calloc(1, sizeof(*stock));
	if (!stock)
		abort();
	stock->discovery = discovery;
	snprintf(stock->url, sizeof(stock->url), "%s", url);
	TAILQ_INIT(&stock->waits);
	discovery->stocks[discovery->stock_count++] = stock;
	return stock;
}

bool discovery_ticket(struct discovery *discovery, const char *entry,
		      char out[DISCOVERY_TICKET_BYTES],
		      struct discovery_wait *wait)
{
	struct stock *stock = find_stock(discovery, entry);
	struct httpcall_call *call = &stock->call;

	if (stock->count) {
		memcpy(out, stock->tickets[--stock->count],
		       DISCOVERY_TICKET_BYTES);
		return true;
	}
	TAILQ_INSERT_TAIL(&stock->waits, wait, link);
	if (stock->fetching)
		return false;
	stock->fetching = true;
	memset(call, 0, sizeof(*call));
	snprintf(call->url, sizeof(call->url), "%s/v1/tickets?count=%d", entry,
		 TICKETS_A_CALL);
	call->method = "POST";
	call->has_body = true;
	call->timeout_ms = TICKET_TIMEOUT_MS;
	call->done = on_tickets;
	httpcall_start(discovery->httpcall, call);
	return false;
}

uint64_t discovery_stale_uses(const struct discovery *discovery)
{
	return discovery->stale_uses;
}
