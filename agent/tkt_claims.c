#include "agent/tkt_claims.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <apr_queue.h>

#include "common/err.h"
#include "common/evt.h"
#include "policy/tkt_budget.h"

#define LOG_MODULE "ticket.store"

/* Maximum number of claims waiting for the store. */
#define QUEUE_CAPACITY 256

struct claim {
	struct tkt_owner owner;
	size_t len;
	char key[TKT_KEY_MAX];
};

struct tkt_claims {
	struct tkt_claims_conf conf;
	apr_pool_t *pool;
	apr_queue_t *queue;
	pthread_t thread;
	bool started;
	/* Used by the thread only. */
	struct tkt_budget budget;
};

static struct tkt_ruling run_claim(struct tkt_claims *c,
				   const struct claim *claim)
{
	const struct str key = {.ptr = claim->key, .len = claim->len};
	const uint32_t entry_count = c->conf.entry_count(c->conf.ctx);

	if (tkt_budget_take(&c->budget, entry_count, clk_now(c->conf.clk)))
		return c->conf.claim(c->conf.claim_ctx, key, &claim->owner);
	evt_log(TICKET_BUDGET, "fleet_per_s=%u vms=%u", c->budget.fleet_per_s,
		entry_count);
	return (struct tkt_ruling){
		.grant = TKT_GRANT_UNAVAILABLE,
		.reason = PST_ERR_TKT_BUDGET,
	};
}

static void *run(void *arg)
{
	struct tkt_claims *c = arg;
	void *item;

	while (apr_queue_pop(c->queue, &item) == APR_SUCCESS) {
		struct claim *claim = item;
		const struct tkt_ruling ruling = run_claim(c, claim);

		c->conf.on_ruling(c->conf.ctx, claim->owner.attempt, &ruling);
		free(claim);
	}
	return NULL;
}

int tkt_claims_start(struct tkt_claims **out,
		     const struct tkt_claims_conf *conf)
{
	struct tkt_claims *c = calloc(1, sizeof(*c));

	if (!c)
		return PST_ERR_NOMEM;
	c->conf = *conf;
	tkt_budget_init(&c->budget, conf->writes_per_s, clk_now(conf->clk));
	if (apr_pool_create(&c->pool, NULL) ||
	    apr_queue_create(&c->queue, QUEUE_CAPACITY, c->pool)) {
		tkt_claims_stop(c);
		return PST_ERR_NOMEM;
	}
	if (pthread_create(&c->thread, NULL, run, c)) {
		tkt_claims_stop(c);
		return PST_ERR_THREAD;
	}
	c->started = true;
	*out = c;
	return 0;
}

void tkt_claims_stop(struct tkt_claims *c)
{
	void *claim;

	if (!c)
		return;
	while (c->queue && apr_queue_trypop(c->queue, &claim) == APR_SUCCESS)
		free(claim);
	if (c->queue)
		apr_queue_term(c->queue);
	if (c->started)
		pthread_join(c->thread, NULL);
	if (c->pool)
		apr_pool_destroy(c->pool);
	free(c);
}

int tkt_claims_send(struct tkt_claims *c, struct str key,
		    const struct tkt_owner *owner)
{
	struct claim *claim = malloc(sizeof(*claim));

	if (!claim)
		return PST_ERR_NOMEM;
	claim->owner = *owner;
	claim->len = key.len;
	memcpy(claim->key, key.ptr, key.len);
	if (apr_queue_trypush(c->queue, claim) == APR_SUCCESS)
		return 0;
	free(claim);
	return PST_ERR_FULL;
}
