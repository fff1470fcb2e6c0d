/*
 * Which VMs are live: the platform's list, which lags, corrected by
 * heartbeats, by other domains' relays and by this VM's own calls.
 *
 * A VM that is found absent is shown as leaving, so that it gets no new work
 * but may still connect. Own evidence goes before reports. Not thread-safe.
 */
#ifndef POLICY_MBR_H
#define POLICY_MBR_H

#include <apr_time.h>

#include "policy/vml.h"

struct mbr;

/* What the relays of one failure domain report. */
struct mbr_report {
	struct strbuf domain;
	/* On this process's clock. */
	apr_time_t observed_at;
	struct strbuf *absent;
	size_t count;
	/* Newest time at which somebody was reported absent. */
	apr_time_t absent_at;
};

/* timeout: without a sign of life for so long a VM is absent. */
int mbr_create(struct mbr **out, apr_interval_time_t timeout);

/* NULL is allowed. */
void mbr_destroy(struct mbr *mbr);

/* Notes a message from, or an answered call to, a VM. */
void mbr_heard(struct mbr *mbr, struct str id, apr_time_t now);

/* Notes a call to a VM that failed. */
void mbr_failed(struct mbr *mbr, struct str id, apr_time_t now);

/*
 * Makes the report of the own failure domain, from the heartbeats that a
 * relay gets. listening_since is when this VM became a relay; before it has
 * listened for the timeout it reports nothing, so that the last report stays.
 * A relay that hears none of several VMs reports nobody, as it may itself be
 * cut off.
 */
void mbr_observe(struct mbr *mbr, const struct vml *list, struct str self,
		 struct str domain, apr_time_t listening_since, apr_time_t now);

/* Takes a report if it is newer than the one held of that domain. */
void mbr_merge(struct mbr *mbr, struct str domain, const struct str *absent,
	       size_t count, apr_time_t observed_at);

/* The reports held; valid until the next call. */
const struct mbr_report *mbr_reports(const struct mbr *mbr, size_t *count);

/*
 * Whether a report may change what its receiver holds. One that names nobody
 * does so only until the last one that did has lapsed everywhere.
 */
bool mbr_report_tells(const struct mbr *mbr, const struct mbr_report *report,
		      apr_time_t now);

/* An operator's mark on a VM: it gets no new work. */
struct mbr_drain {
	struct str id;
};

/*
 * Makes the corrected list: a copy of list in which absent and drained VMs
 * are leaving. Its revision is the given one. Returns 0 or PST_ERR_NOMEM.
 */
int mbr_correct(const struct mbr *mbr, const struct vml *list, struct str self,
		const struct mbr_drain *drains, size_t drain_count,
		uint64_t revision, apr_time_t now, struct vml **out);

/* Whether the VMs of both lists are the same, in the same states. */
bool mbr_same(const struct vml *a, const struct vml *b);

#endif
