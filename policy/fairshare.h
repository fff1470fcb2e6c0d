/*
 * Max-min fair shares of one service among its tenants. Pure functions.
 *
 * Designed for: a tenant that sends several times its usual rate to a service
 * whose slots then do not suffice. Each tenant gets what it asks for, up to a
 * water level at which the shares add up to what the service runs. Less urgent
 * ranks share what more urgent ones leave.
 *
 * A VM decides by the requests that it sees itself: what they asked for and
 * what was admitted of that, in slot time, both decaying. This assumes that
 * callers spread the requests of each tenant over VMs as those of others. A
 * tenant that sends through a few VMs only competes there with few others, so
 * it gets more than its share of the service, and tenants that send through
 * the same VMs get less. A VM that sees less than about one request per second
 * cannot tell a large tenant from a small one. Shares are equal: a tenant that
 * is usually large is cut before small ones that send more than usual, until
 * they are as large.
 */
#ifndef POLICY_FAIRSHARE_H
#define POLICY_FAIRSHARE_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

/*
 * Tenants that are remembered for a service. A VM with ten requests per second
 * sees less than 200 tenants before an idle one is forgotten. Without room the
 * tenant of least demand is forgotten.
 */
#define FAIRSHARE_TENANTS 256

/* A tenant's requests of one rank. */
struct fairshare_tenant {
	/* Hash of the tenant's name; 0 for requests without a tenant. */
	uint64_t tenant;
	unsigned rank;
	/* Decaying slot time in microseconds, asked for and admitted. */
	double demand;
	double admitted;
	/* Time until which refused requests were told to wait. */
	apr_time_t promised_until;
	/* End of the time for which a late service holds it below its share. */
	apr_time_t held_until;
};

/* Zeroed memory is a valid empty state. */
struct fairshare {
	struct fairshare_tenant tenants[FAIRSHARE_TENANTS];
	unsigned count;
	apr_time_t updated_at;
	/* What the service runs: the most that was admitted lately. */
	double capacity;
};

struct fairshare_request {
	uint64_t tenant;
	unsigned rank;
	/* Slot time that the request is expected to take, in microseconds. */
	double slot_time;
};

/* A tenant's use of a service at one VM, in slots kept busy. */
struct fairshare_use {
	double demand;
	double admitted;
	/* Water level of its rank; INFINITY if no tenant is limited. */
	double level;
	/* Smoothed fraction of late requests of its rank or more urgent ones.
	 */
	double late;
	/* Requests are late, and the tenant has its share. */
	bool is_over;
	/*
	 * Factor from 0 to 1 of the load below which a slot counts as free for
	 * it: the more requests are late, the less is free than it seems.
	 */
	double free_factor;
};

/* Records that a request arrived, whether it is sent or refused. */
void fairshare_note_request(struct fairshare *fairshare,
			    const struct fairshare_request *request,
			    apr_time_t now);

/* Records that a noted request was admitted. */
void fairshare_note_admitted(struct fairshare *fairshare,
			     const struct fairshare_request *request,
			     apr_time_t now);

/*
 * Decides whether the tenant of a noted request has its share, while the
 * fraction `late` of requests of its rank or more urgent ones is late.
 */
struct fairshare_use fairshare_judge(struct fairshare *fairshare,
				     const struct fairshare_request *request,
				     double late, apr_time_t now);

/*
 * Returns the time in microseconds after which a refused request of the tenant
 * is within its share, at most FAIRSHARE_RETRY_MAX_US, and reserves that place:
 * the next refused request gets a later one.
 */
#define FAIRSHARE_RETRY_MAX_US (10 * APR_USEC_PER_SEC)
apr_interval_time_t
fairshare_reserve_retry(struct fairshare *fairshare,
			const struct fairshare_request *request,
			const struct fairshare_use *use, apr_time_t now);

#endif
