/*
 * Permits that the entry VM gives to itself: by a baseline policy, or within
 * its static share of the slots while a broker is silent.
 */
#ifndef AGENT_PERMIT_LOCAL_H
#define AGENT_PERMIT_LOCAL_H

#include "agent/permit.h"
#include "policy/brk_core.h"
#include "policy/pick.h"

/* The highest bit of a permit's number: given by the entry VM itself. */
#define PERMIT_LOCAL_BIT (UINT64_C(1) << 63)

struct permit_local;

struct permit_local_cfg {
	/* PICK_BROKER acts as PICK_STATIC_SPLIT. */
	enum pick_policy policy;
	struct str service;
	struct str domain;
	/* This VM's name in the list. */
	struct str entry;
	uint32_t epoch;
	/* As for brk_create(). */
	struct brk_sink sink;
};

/* Returns 0 or PST_ERR_NOMEM. */
int permit_local_create(struct permit_local **out,
			const struct permit_local_cfg *cfg, apr_time_t now);
void permit_local_destroy(struct permit_local *local);

/* Takes over the upstreams and reserved parts of a new view. */
void permit_local_view(struct permit_local *local, const struct ctl_view *view,
		       apr_time_t now);

void permit_local_ask(struct permit_local *local, const struct brk_ask *ask,
		      apr_time_t now);
void permit_local_cancel(struct permit_local *local, uint64_t ask,
			 apr_time_t now);
/* A permit that it did not give is ignored. */
void permit_local_release(struct permit_local *local, uint64_t permit,
			  enum permit_outcome outcome, apr_time_t now);

/* Counts permits of a broker against the static share. */
void permit_local_claim(struct permit_local *local,
			const struct brk_claim *claims, size_t count,
			apr_time_t now);
void permit_local_report(struct permit_local *local, struct str upstream,
			 const struct load_report *report, apr_time_t now);
void permit_local_tick(struct permit_local *local, apr_time_t now);

/*
 * Collects the upstreams of a service and failure domain from a list; *out
 * is freed with free(). Returns how many, or 0 also when memory is out.
 */
size_t permit_listed(const struct vml *vml, struct str service,
		     struct str domain, struct brk_listed_vm **out);

/* Reads the reserved parts of a service; all 0 when it has no row. */
void permit_reserves(const struct tbl *tbl, struct str service,
		     uint32_t pct[RANK_COUNT]);

#endif
