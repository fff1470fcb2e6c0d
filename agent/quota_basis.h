/*
 * What the goals of the splits are worked out from, besides the weights:
 * services' failure domains with upstreams that take work, and, by epochs,
 * the demand of regions and domains and the domains that are lost.
 *
 * Not thread-safe.
 */
#ifndef AGENT_QUOTA_BASIS_H
#define AGENT_QUOTA_BASIS_H

#include "policy/tbl.h"
#include "policy/vml.h"

/* Epochs that are kept. */
#define QB_EPOCHS_MAX 32

struct qb_epoch {
	/* Running time at which it came in force. */
	apr_interval_time_t from;
	/* Part of the fleet's requests of each region. Owned. */
	double *demand;
	/* Part of the fleet's requests of each domain. Owned. */
	double *domain_demand;
	/* Domains of which no entry VM is heard. Owned. */
	bool *lost;
	/* No goal is further from the former epoch's; at most 1. */
	double far;
};

struct qb {
	/* Of each service, domain_count each. Owned. */
	bool *serving;
	/* Epoch n is at n % QB_EPOCHS_MAX. */
	struct qb_epoch epochs[QB_EPOCHS_MAX];
	uint32_t oldest;
	uint32_t newest;
};

/* One epoch, in force from the given running time. Returns PST_ERR_NOMEM. */
int qb_make(struct qb *out, const struct tbl *tbl, const struct vml *vml,
	    apr_interval_time_t from);
void qb_done(struct qb *qb);

const struct qb_epoch *qb_epoch(const struct qb *qb, uint32_t number);

/* Whether the epochs now in force of two bases of equal domains are equal. */
bool qb_same_epoch(const struct qb *a, const struct qb *b,
		   const struct tbl *tbl);

/*
 * Takes over next's services and, when it differs, its epoch, and ends next.
 * The oldest epoch is dropped when there is no room. own: this VM's region,
 * or region_count; own_domain: its failure domain, or domain_count.
 */
void qb_follow(struct qb *qb, struct qb *next, const struct tbl *tbl,
	       size_t own, size_t own_domain);

#endif
