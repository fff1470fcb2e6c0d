#include "agent/tkt_bind.h"

#include <stdlib.h>

#include "agent/tkt_store.h"
#include "common/err.h"

struct tkt_bind {
	struct ctl_agent *ctl;
	struct tkt_store *store;
};

static struct vmlist *list(void *ctx)
{
	struct tkt_bind *bind = ctx;
	struct ctl_view *view = ctl_agent_view(bind->ctl);
	struct vmlist *vmlist;

	if (!view)
		return NULL;
	vmlist = view->vmlist;
	ref_get(&vmlist->ref);
	ctl_view_put(view);
	return vmlist;
}

static struct tkt_ruling claim(void *ctx, struct str key,
			       const struct tkt_owner *owner)
{
	struct tkt_bind *bind = ctx;

	return tkt_store_claim(bind->store, key, owner);
}

static void cancel(void *ctx)
{
	struct tkt_bind *bind = ctx;

	tkt_store_cancel(bind->store);
}

int tkt_bind_create(struct tkt_bind **out, const struct settings *set,
		    const struct clk *clk, struct ctl_agent *ctl)
{
	struct tkt_bind *bind = calloc(1, sizeof(*bind));
	int err;

	if (!bind)
		return PST_ERR_NOMEM;
	bind->ctl = ctl;
	err = tkt_store_create(&bind->store, set, clk);
	if (err) {
		free(bind);
		return err;
	}
	*out = bind;
	return 0;
}

void tkt_bind_destroy(struct tkt_bind *bind)
{
	if (!bind)
		return;
	tkt_store_destroy(bind->store);
	free(bind);
}

struct tkt_env tkt_bind_env(struct tkt_bind *bind)
{
	return (struct tkt_env){
		.list = list,
		.claim = claim,
		.cancel = cancel,
		.ctx = bind,
	};
}
