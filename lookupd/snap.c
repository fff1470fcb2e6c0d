#include "lookupd/snap.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "lookup"

/* Time between two checks of the view, in milliseconds. */
#define VIEW_POLL_MS 20

struct snap {
	const struct settings *set;
	struct ctl_agent *ctl;
	pthread_t thread;
	atomic_bool stopping;
	pthread_mutex_t lock;
	/* The newest snapshot; guarded by lock. */
	struct entrymap *current;
	atomic_ulong version;
	pthread_key_t key;
	/* Used by the builder thread only. */
	struct ctl_view *view;
	uint64_t digest;
	bool stale;
};

/* A reading thread's reference to a snapshot. */
struct held {
	struct entrymap *entrymap;
	unsigned long version;
};

static void free_held(void *arg)
{
	struct held *held = arg;

	entrymap_put(held->entrymap);
	free(held);
}

static void publish(struct snap *snap, struct entrymap *entrymap)
{
	struct entrymap *old;

	pthread_mutex_lock(&snap->lock);
	old = snap->current;
	snap->current = entrymap;
	pthread_mutex_unlock(&snap->lock);
	atomic_fetch_add(&snap->version, 1);
	entrymap_put(old);
}

static bool rebuild(struct snap *snap, const struct ctl_view *view)
{
	const uint64_t digest = entrymap_digest(view->vmlist, view->tbl);
	const struct entrymap_conf conf = {
		.region = snap->set->vm.region,
		.entry_port = (uint16_t)snap->set->entry.port,
		.ttl_ms = (uint32_t)snap->set->lookup.ttl_ms,
	};
	const bool same_list = snap->view && snap->view->vmlist == view->vmlist;
	struct entrymap *entrymap = NULL;
	int err;

	/* Lists from other VMs may differ in revision but not in content. */
	if (snap->view && digest == snap->digest)
		return true;
	err = entrymap_build(&entrymap, view->vmlist, view->tbl, &conf);
	if (err) {
		evt_log(LOOKUP_BUILD_FAILED, "err=%s", err_name(err));
		return false;
	}
	evt_log(LOOKUP_SNAPSHOT, "table=%lu list=%lu vms=%zu bytes=%zu why=%s",
		(unsigned long)view->tbl->revision,
		(unsigned long)view->vmlist->revision,
		entrymap_vm_count(entrymap), entrymap_bytes(entrymap),
		same_list ? "table_changed" : "list_changed");
	publish(snap, entrymap);
	snap->digest = digest;
	return true;
}

static void log_freshness(struct snap *snap)
{
	const bool stale = !ctl_agent_fresh(snap->ctl);
	const unsigned long table = snap->view->tbl->revision;
	const unsigned long list = snap->view->vmlist->revision;

	if (stale == snap->stale)
		return;
	snap->stale = stale;
	if (stale)
		evt_log(LOOKUP_STALE, "table=%lu list=%lu", table, list);
	else
		evt_log(LOOKUP_FRESH, "table=%lu list=%lu", table, list);
}

static void check_view(struct snap *snap)
{
	struct ctl_view *view = ctl_agent_view(snap->ctl);

	if (!view)
		return;
	/* The view is kept so that the addresses compared aren't reused. */
	if ((snap->view && view->tbl == snap->view->tbl &&
	     view->vmlist == snap->view->vmlist) ||
	    !rebuild(snap, view)) {
		ctl_view_put(view);
	} else {
		if (snap->view)
			ctl_view_put(snap->view);
		snap->view = view;
	}
	if (snap->view)
		log_freshness(snap);
}

static void *poll_view(void *arg)
{
	struct snap *snap = arg;

	while (!snap->stopping) {
		check_view(snap);
		usleep(VIEW_POLL_MS * 1000);
	}
	return NULL;
}

int snap_start(struct snap **out, const struct settings *set,
	       struct ctl_agent *ctl)
{
	struct snap *snap = calloc(1, sizeof(*snap));

	if (!snap)
		return PST_ERR_NOMEM;
	snap->set = set;
	snap->ctl = ctl;
	pthread_mutex_init(&snap->lock, NULL);
	if (pthread_key_create(&snap->key, free_held)) {
		free(snap);
		return PST_ERR_THREAD;
	}
	if (pthread_create(&snap->thread, NULL, poll_view, snap)) {
		pthread_key_delete(snap->key);
		free(snap);
		return PST_ERR_THREAD;
	}
	*out = snap;
	return 0;
}

void snap_stop(struct snap *snap)
{
	if (!snap)
		return;
	snap->stopping = true;
	pthread_join(snap->thread, NULL);
	pthread_key_delete(snap->key);
	entrymap_put(snap->current);
	if (snap->view)
		ctl_view_put(snap->view);
	pthread_mutex_destroy(&snap->lock);
	free(snap);
}

const struct entrymap *snap_current(struct snap *snap)
{
	const unsigned long version = atomic_load(&snap->version);
	struct held *held = pthread_getspecific(snap->key);

	if (!held) {
		held = calloc(1, sizeof(*held));
		if (!held)
			return NULL;
		pthread_setspecific(snap->key, held);
	}
	if (held->version == version)
		return held->entrymap;
	entrymap_put(held->entrymap);
	pthread_mutex_lock(&snap->lock);
	held->entrymap = snap->current;
	if (held->entrymap)
		entrymap_get(held->entrymap);
	pthread_mutex_unlock(&snap->lock);
	held->version = version;
	return held->entrymap;
}
