/*
 * Decides which VMs are live: corrects the platform's list, which lags, by
 * heartbeats, reports of other domains' relays and this VM's own calls.
 *
 * A VM found absent is listed as leaving, so that it gets no new work but may
 * still connect. This VM's own observations override reports. Not thread-safe.
 */
#ifndef POLICY_LIVENESS_H
#define POLICY_LIVENESS_H

#include <apr_time.h>

#include "policy/vmlist.h"

struct liveness;

/* The absent VMs of one failure domain, as reported by its relays. */
struct liveness_report {
	struct strbuf domain;
	/* On this process's clock. */
	apr_time_t observed_at;
	struct strbuf *absent;
	size_t count;
	/* Latest observation that named an absent VM; INT64_MIN: none. */
	apr_time_t absent_at;
};

/* timeout: time without a message after which a VM is absent. */
int liveness_create(struct liveness **out, apr_interval_time_t timeout);

/* liveness may be NULL. */
void liveness_destroy(struct liveness *liveness);

/* Notes a message from a VM or an answered call to it. */
void liveness_heard(struct liveness *liveness, struct str id, apr_time_t now);

/* Notes a failed call to a VM. */
void liveness_failed(struct liveness *liveness, struct str id, apr_time_t now);

/*
 * Makes the report of this VM's failure domain, domain, from the heartbeats
 * that it gets as a relay. listening_since is when it became one; until it has
 * listened for the timeout it makes no report, so that the previous one stays.
 * A relay that hears none of several VMs reports none of them absent, since it
 * may be cut off itself.
 */
void liveness_observe(struct liveness *liveness, const struct vmlist *list,
		      struct str self, struct str domain,
		      apr_time_t listening_since, apr_time_t now);

/* Takes a report if it is newer than the one held for that domain. */
void liveness_merge(struct liveness *liveness, struct str domain,
		    const struct str *absent, size_t count,
		    apr_time_t observed_at);

/* Returns the reports held; valid until the next call that changes liveness. */
const struct liveness_report *liveness_reports(const struct liveness *liveness,
					       size_t *count);

/*
 * Whether a report may change what its receiver holds. One without absent VMs
 * does so only until the domain's last report with some has lapsed everywhere.
 */
bool liveness_report_is_relevant(const struct liveness *liveness,
				 const struct liveness_report *report,
				 apr_time_t now);

/* An operator's mark that drains a VM. */
struct liveness_drain {
	struct str id;
};

/*
 * Makes the corrected list: a copy of list with the given revision in which
 * absent and drained VMs are leaving. self, this VM's id, is never absent.
 * Returns 0 or PST_ERR_NOMEM.
 */
int liveness_correct(const struct liveness *liveness, const struct vmlist *list,
		     struct str self, const struct liveness_drain *drains,
		     size_t drain_count, uint64_t revision, apr_time_t now,
		     struct vmlist **out);

/* Whether two lists are equal in everything but the revision. */
bool liveness_lists_equal(const struct vmlist *a, const struct vmlist *b);

#endif
