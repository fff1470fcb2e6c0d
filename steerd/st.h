/* State that the modules of pst-steerd share. Only one thread uses it. */
#ifndef STEERD_ST_H
#define STEERD_ST_H

#include <ev.h>

#include "common/clk.h"
#include "common/settings.h"
#include "policy/downtime.h"
#include "policy/retrycap.h"
#include "policy/relaytree.h"
#include "policy/routing.h"
#include "policy/registry.h"
#include "policy/shutdown.h"
#include "policy/vms.h"
#include "policy/vmset.h"
#include "platform/plt_store.h"
#include "steerd/upclient.h"
#include "steerd/srv.h"

struct accounts;
struct feed_group;
struct loads;
struct self;

struct st {
	struct ev_loop *loop;
	const struct clk *clk;
	struct settings *set;
	apr_pool_t *pool;
	struct geo geo;
	/* Failure domain and region of this VM. */
	int domain;
	int region;
	struct plt_store *store;
	/* Client of the VM that relays the store's changes; NULL if none. */
	struct plt_store *relay;
	/* The previous relay's client, until it can be freed. */
	struct plt_store *previous_relay;
	struct relaytree relaytree;
	/* Feeds of the store's keys; NULL before state_start(). */
	struct feed_group *feeds;
	/* Load reports exchanged with other VMs; NULL if disabled. */
	struct loads *loads;
	/* Permits of tenants that have a rate. */
	struct accounts *accounts;
	/* This VM's own entry in the store. */
	struct self *self;
	/* The manifest in force; NULL until the first. */
	struct routing *routing;
	struct registry registry;
	/*
	 * The operators' keys were known as they were at some time since this
	 * VM's start, not only as a replica of the store had them.
	 */
	bool table_known;
	/* The list of upstreams was read completely at least once. */
	bool upstreams_known;
	struct vms vms;
	/* When a VM joined or left last, and the list that all VMs know. */
	apr_time_t vms_changed_at;
	struct vmset settled;
	/* Whether a domain is evacuated, by domain. */
	bool evacuated[GEO_MAX_DOMAINS];
	/* Round-trip time by region. */
	apr_interval_time_t region_rtt[GEO_MAX_REGIONS];
	struct upclient upclient;
	/* Servers for callers, readiness checks, look-ups and metrics. */
	struct srv front;
	struct srv ready;
	struct srv directory;
	struct srv metrics;
	/* Server for VMs that follow the store through this one. */
	struct srv peers;
	/* The process was told to stop, and when. */
	bool stopping;
	apr_time_t stopping_since;
	struct downtime downtime;
	/* Era of the store; 0: none was stated. */
	uint64_t era;
	/* It was restored, and what it lacks may be written again. */
	bool restored;
	/* Begins anew what was read of it; set by state_start(). */
	void (*on_restore)(struct st *st);
	/* The restored store lacks the evacuation of a domain. */
	bool evacuation_missing[GEO_MAX_DOMAINS];
};

/* Whether this VM can serve callers. */
bool st_ready(const struct st *st);

/*
 * Whether this VM can serve callers as soon as it knows that its table is the
 * newest: time to be listed, since that takes two calls, and since the relay of
 * its domain is found in the list.
 */
bool st_nearly_ready(const struct st *st);

/* The planned stop in progress; only while st->stopping. */
struct shutdown st_shutdown(const struct st *st);

/* Whether this VM may end before a request that takes so long is answered. */
bool st_would_cut(const struct st *st, apr_interval_time_t expected);

/* The list that all VMs know; NULL if this VM's list may not be current. */
const struct vmset *st_settled_vms(struct st *st);

/* Records the result of a call to the store, 0 or an error. */
void st_store_call_ended(struct st *st, int err);

/* The relay to watch for changes now, or NULL for the store itself. */
struct plt_store *st_relay(struct st *st);

/*
 * Another VM to ask for changes while the store refuses this one, or NULL. A
 * VM that has not yet confirmed that its data is fresh is returned only if
 * searches is set.
 */
struct plt_store *st_fallback(struct st *st, bool searches);

/* Until when an entry whose lease ends now is still used; 0: not at all. */
apr_time_t st_hold_until(const struct st *st);

#endif
