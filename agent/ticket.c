#include "agent/ticket.h"

#include <stdlib.h>

#include "agent/tkt_service.h"
#include "agent/tkt_store.h"
#include "common/err.h"

struct tkt_agent {
	struct ctl_agent *ctl;
	struct tkt_store *store;
	struct tkt_service *service;
};

static struct vml *list(void *ctx)
{
	struct tkt_agent *agent = ctx;
	struct ctl_view *view = ctl_agent_view(agent->ctl);
	struct vml *vml;

	if (!view)
		return NULL;
	vml = view->vml;
	ref_get(&vml->ref);
	ctl_view_put(view);
	return vml;
}

static struct tkt_ruling claim(void *ctx, struct str key,
			       const struct tkt_owner *owner)
{
	struct tkt_agent *agent = ctx;

	return tkt_store_claim(agent->store, key, owner);
}

int tkt_agent_start(struct tkt_agent **out, const struct settings *set,
		    const struct clk *clk, struct ctl_agent *ctl,
		    void (*on_answer)(void *ctx,
				      const struct tkt_answer *answer),
		    void *ctx)
{
	struct tkt_agent *agent = calloc(1, sizeof(*agent));
	const struct tkt_env env = {
		.list = list,
		.claim = claim,
		.ctx = agent,
	};
	int err;

	if (!agent)
		return PST_ERR_NOMEM;
	agent->ctl = ctl;
	err = tkt_store_create(&agent->store, set, clk);
	if (!err)
		err = tkt_service_start(&agent->service, set, clk, &env,
					on_answer, ctx);
	if (err) {
		tkt_store_destroy(agent->store);
		free(agent);
		return err;
	}
	*out = agent;
	return 0;
}

void tkt_agent_stop(struct tkt_agent *agent)
{
	if (!agent)
		return;
	tkt_store_cancel(agent->store);
	tkt_service_stop(agent->service);
	tkt_store_destroy(agent->store);
	free(agent);
}

size_t tkt_agent_issue(struct tkt_agent *agent, size_t count,
		       char out[][TKT_KEY_MAX + 1])
{
	return tkt_service_issue(agent->service, count, out);
}

int tkt_agent_admit(struct tkt_agent *agent, uint64_t request_id,
		    struct str key, apr_time_t deadline)
{
	return tkt_service_admit(agent->service, request_id, key, deadline);
}

void tkt_agent_end(struct tkt_agent *agent, struct str key, enum tkt_end end)
{
	tkt_service_end(agent->service, key, end);
}

void tkt_agent_drain(struct tkt_agent *agent)
{
	tkt_service_drain(agent->service);
}
