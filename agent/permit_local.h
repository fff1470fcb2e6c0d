/*
 * Permits that an entry VM grants itself: by a baseline policy, or within its
 * static share of the slots while the broker is silent.
 */
#ifndef AGENT_PERMIT_LOCAL_H
#define AGENT_PERMIT_LOCAL_H

#include "agent/permit.h"
#include "policy/broker_core.h"
#include "policy/pick.h"

/* Bit of a permit's ID that is set if the entry VM granted it to itself. */
#define PERMIT_LOCAL_BIT (UINT64_C(1) << 63)

struct permit_local;

struct permit_local_cfg {
	/* PICK_BROKER acts as PICK_STATIC_SPLIT. */
	enum pick_policy policy;
	struct str service;
	struct str domain;
	/* This VM's ID in the VM list. */
	struct str entry;
	/* Upper half of the permits' IDs. */
	uint32_t epoch;
	/* As for broker_create(). */
	struct broker_sink sink;
};

/* Returns 0 or PST_ERR_NOMEM. */
int permit_local_create(struct permit_local **out,
			const struct permit_local_cfg *cfg, apr_time_t now);
void permit_local_destroy(struct permit_local *local);

/* Applies the upstreams and reserved percentages of a new view. */
void permit_local_view(struct permit_local *local, const struct ctl_view *view,
		       apr_time_t now);

void permit_local_ask(struct permit_local *local, const struct broker_ask *ask,
		      apr_time_t now);
void permit_local_cancel(struct permit_local *local, uint64_t ask,
			 apr_time_t now);
/* Ignores a permit that local did not grant. */
void permit_local_release(struct permit_local *local, uint64_t permit,
			  enum permit_outcome outcome, apr_time_t now);

/* Counts permits granted by a broker against the static share. */
void permit_local_claim(struct permit_local *local,
			const struct broker_claim *claims, size_t count,
			apr_time_t now);
void permit_local_report(struct permit_local *local, struct str upstream,
			 const struct load_report *report, apr_time_t now);
void permit_local_tick(struct permit_local *local, apr_time_t now);

/*
 * Collects the upstreams of a service and failure domain from a VM list. The
 * caller frees *out with free(). Returns their number, or 0 when memory is out.
 */
size_t permit_list_upstreams(const struct vmlist *vmlist, struct str service,
			     struct str domain, struct broker_listed_vm **out);

/* Reads a service's reserved percentages; all 0 when it is not in the table. */
void permit_reserved_pct(const struct tbl *tbl, struct str service,
			 uint32_t pct[RANK_COUNT]);

#endif
