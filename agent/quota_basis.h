/*
 * What the goals of the splits are computed from, besides the weights: each
 * service's failure domains with live upstreams and, per epoch, the demand of
 * regions and domains and the lost domains. A new epoch starts when the
 * demand or the lost domains change.
 *
 * Not thread-safe.
 */
#ifndef AGENT_QUOTA_BASIS_H
#define AGENT_QUOTA_BASIS_H

#include "policy/tbl.h"
#include "policy/vmlist.h"

#define SPLIT_EPOCHS_MAX 32

struct split_epoch {
	/* Running time at which the epoch started. */
	apr_interval_time_t started_at;
	/* Part of the fleet's requests that arrives in each region. Owned. */
	double *demand;
	/* Part of the fleet's requests that arrives in each domain. Owned. */
	double *domain_demand;
	/* Domains that have entry VMs, none of them live. Owned. */
	bool *lost;
	/*
	 * Bound on the part of the traffic by which any row's goal moved from
	 * the previous epoch; at most 1.
	 */
	double max_goal_change;
};

struct split_basis {
	/*
	 * Whether a service has live upstreams in a domain: domain_count
	 * elements for each service. Owned.
	 */
	bool *serving;
	/* Epoch n is at n % SPLIT_EPOCHS_MAX. */
	struct split_epoch epochs[SPLIT_EPOCHS_MAX];
	uint32_t oldest;
	uint32_t newest;
};

/*
 * Creates a basis with one epoch that starts at the given running time.
 * Returns 0 or PST_ERR_NOMEM.
 */
int split_basis_make(struct split_basis *out, const struct tbl *tbl,
		     const struct vmlist *vmlist, apr_interval_time_t from);
void split_basis_free(struct split_basis *basis);

const struct split_epoch *split_epoch_at(const struct split_basis *basis,
					 uint32_t number);

/* Compares the newest epochs of two bases for the same domains. */
bool split_basis_same_epoch(const struct split_basis *a,
			    const struct split_basis *b, const struct tbl *tbl);

/*
 * Takes over next's serving domains and, when it differs, its newest epoch,
 * and frees next. The oldest epoch is dropped when there is no room. own: index
 * of this VM's region, or region_count; own_domain: index of its failure
 * domain, or domain_count.
 */
void split_basis_update(struct split_basis *basis, struct split_basis *next,
			const struct tbl *tbl, size_t own, size_t own_domain);

#endif
