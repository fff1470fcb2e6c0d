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

TAILQ_HEAD(waits, luk_wait);

/* The cached entry VMs for one service and block. */
struct answer {
	TAILQ_ENTRY(answer) link;
	struct luk *luk;
	struct strbuf service;
	uint32_t block;
	char urls[LUK_ENTRIES][LUK_URL_BYTES];
	size_t count;
	apr_time_t expires;
	bool fetching;
	uint32_t failures;
	struct waits waits;
	struct cll_call call;
};

/* Unused tickets of one entry VM. */
struct stock {
	struct luk *luk;
	char url[LUK_URL_BYTES];
	char tickets[TICKETS_A_CALL][LUK_TICKET_BYTES];
	size_t count;
	bool fetching;
	struct waits waits;
	struct cll_call call;
};

struct luk {
	struct evloop *loop;
	struct cll *cll;
	const struct luk_config *config;
	TAILQ_HEAD(, answer) answers;
	struct stock *stocks[MAX_ENTRIES];
	size_t stock_count;
	uint64_t stale_uses;
};

static void notify_waiters(struct waits *waits, bool ok)
{
	struct waits now;
	struct luk_wait *wait;

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

		if (url && answer->count < LUK_ENTRIES)
			snprintf(answer->urls[answer->count++], LUK_URL_BYTES,
				 "%s", url);
	}
	answer->failures = 0;
	answer->expires = evloop_now(answer->luk->loop) + CLK_MS(ttl);
}

static void on_answer(struct cll_call *call)
{
	struct answer *answer =
		(struct answer *)(void *)((char *)call -
					  offsetof(struct answer, call));
	struct luk *luk = answer->luk;
	json_t *root = NULL;

	answer->fetching = false;
	if (call->code == CURLE_OK && call->status == 200)
		root = json_loadb(call->kept, call->kept_len, 0, NULL);
	if (json_array_size(json_object_get(root, "entries"))) {
		take_answer(answer, root);
	} else {
		answer->failures++;
		answer->expires = evloop_now(luk->loop) + CLK_MS(RETRY_MS);
		if (answer->count)
			luk->stale_uses++;
	}
	json_decref(root);
	notify_waiters(&answer->waits, answer->count > 0);
}

static void ask(struct answer *answer)
{
	struct luk *luk = answer->luk;
	struct cll_call *call = &answer->call;
	const size_t index =
		(answer->block + answer->failures) % luk->config->url_count;

	answer->fetching = true;
	memset(call, 0, sizeof(*call));
	snprintf(call->url, sizeof(call->url),
		 "%s/v1/lookup?service=%s&block=block-%u",
		 luk->config->urls[index], answer->service.ptr, answer->block);
	call->method = "GET";
	call->timeout_ms = LOOKUP_TIMEOUT_MS;
	call->done = on_answer;
	cll_start(luk->cll, call);
}

static struct answer *find_answer(struct luk *luk, struct str service,
				  uint32_t block)
{
	struct answer *answer;

	TAILQ_FOREACH(answer, &luk->answers, link)
	{
		if (answer->block == block &&
		    str_eq(strbuf_str(&answer->service), service))
			return answer;
	}
	answer = calloc(1, sizeof(*answer));
	if (!answer)
		abort();
	answer->luk = luk;
	answer->block = block;
	strbuf_set(&answer->service, service);
	TAILQ_INIT(&answer->waits);
	TAILQ_INSERT_TAIL(&luk->answers, answer, link);
	return answer;
}

int luk_create(struct luk **out, struct evloop *loop, struct cll *cll,
	       const struct luk_config *config)
{
	struct luk *luk = calloc(1, sizeof(*luk));

	if (!luk)
		return PST_ERR_NOMEM;
	luk->loop = loop;
	luk->cll = cll;
	luk->config = config;
	TAILQ_INIT(&luk->answers);
	*out = luk;
	return 0;
}

size_t luk_entries(struct luk *luk, struct str service, uint32_t block,
		   const char *urls[LUK_ENTRIES], struct luk_wait *wait)
{
	struct answer *answer;

	if (!luk->config->url_count) {
		urls[0] = luk->config->direct;
		return 1;
	}
	answer = find_answer(luk, service, block);
	if (answer->expires <= evloop_now(luk->loop) && !answer->fetching)
		ask(answer);
	if (!answer->count) {
		TAILQ_INSERT_TAIL(&answer->waits, wait, link);
		return 0;
	}
	for (size_t i = 0; i < answer->count; i++)
		urls[i] = answer->urls[i];
	return answer->count;
}

static void on_tickets(struct cll_call *call)
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
				 LUK_TICKET_BYTES, "%s",
				 json_string_value(ticket));
	}
	json_decref(root);
	notify_waiters(&stock->waits, stock->count > 0);
}

static struct stock *find_stock(struct luk *luk, const char *url)
{
	struct stock *stock;

	for (size_t i = 0; i < luk->stock_count; i++) {
		if (!strcmp(luk->stocks[i]->url, url))
			return luk->stocks[i];
	}
	if (luk->stock_count == MAX_ENTRIES)
		abort();
	stock = calloc(1, sizeof(*stock));
	if (!stock)
		abort();
	stock->luk = luk;
	snprintf(stock->url, sizeof(stock->url), "%s", url);
	TAILQ_INIT(&stock->waits);
	luk->stocks[luk->stock_count++] = stock;
	return stock;
}

bool luk_ticket(struct luk *luk, const char *entry, char out[LUK_TICKET_BYTES],
		struct luk_wait *wait)
{
	struct stock *stock = find_stock(luk, entry);
	struct cll_call *call = &stock->call;

	if (stock->count) {
		memcpy(out, stock->tickets[--stock->count], LUK_TICKET_BYTES);
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
	cll_start(luk->cll, call);
	return false;
}

uint64_t luk_stale_uses(const struct luk *luk)
{
	return luk->stale_uses;
}
