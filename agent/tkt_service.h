/*
 * The at-most-once service of one process, apart from where it gets its VM
 * list and how it reaches the store. agent/ticket.h binds both.
 */
#ifndef AGENT_TKT_SERVICE_H
#define AGENT_TKT_SERVICE_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tkt_asker.h"
#include "policy/vml.h"

struct tkt_env {
	/* Returns a new reference, or NULL while no list is known. */
	struct vml *(*list)(void *ctx);
	/* Claims an own key for owner; runs on one thread and may block. */
	struct tkt_ruling (*claim)(void *ctx, struct str key,
				   const struct tkt_owner *owner);
	void *ctx;
};

struct tkt_service;

/* As tkt_agent_start(); copies env. */
int tkt_service_start(struct tkt_service **out, const struct settings *set,
		      const struct clk *clk, const struct tkt_env *env,
		      void (*on_answer)(void *ctx,
					const struct tkt_answer *answer),
		      void *ctx);

/* NULL is allowed. */
void tkt_service_stop(struct tkt_service *s);

size_t tkt_service_issue(struct tkt_service *s, size_t count,
			 char out[][TKT_KEY_MAX + 1]);
int tkt_service_admit(struct tkt_service *s, uint64_t request_id,
		      struct str key, apr_time_t deadline);
void tkt_service_end(struct tkt_service *s, struct str key, enum tkt_end end);
void tkt_service_drain(struct tkt_service *s);

#endif
