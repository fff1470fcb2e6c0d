#include "policy/mbr.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Consecutive failed calls after which a VM is suspected. */
#define FAILURES_TO_SUSPECT 2

/* Timeouts after which a report or a suspicion lapses. */
#define LAPSE_TIMEOUTS 4

#define FIRST_CAPACITY 32

/* What this VM has observed of another. */
struct peer {
	struct strbuf id;
	/* First seen on the list or heard. */
	apr_time_t known_since;
	/* 0: never. */
	apr_time_t heard_at;
	apr_time_t failed_at;
	uint32_t failures;
};

struct mbr {
	apr_interval_time_t timeout;
	/* Sorted by id. */
	struct peer *peers;
	size_t peer_count;
	size_t peer_capacity;
	/* One for each domain, in the order in which they came. */
	struct mbr_report *reports;
	size_t report_count;
	size_t report_capacity;
};

static size_t peer_lower_bound(const struct mbr *mbr, struct str id)
{
	size_t low = 0;
	size_t high = mbr->peer_count;

	while (low < high) {
		const size_t middle = (low + high) / 2;

		if (str_cmp(strbuf_str(&mbr->peers[middle].id), id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct peer *find_peer(const struct mbr *mbr, struct str id)
{
	const size_t at = peer_lower_bound(mbr, id);

	if (at < mbr->peer_count && str_eq(strbuf_str(&mbr->peers[at].id), id))
		return &mbr->peers[at];
	return NULL;
}

static bool grow_array(void **array, size_t count, size_t *capacity,
		       size_t size)
{
	const size_t more = *capacity ? *capacity * 2 : FIRST_CAPACITY;
	void *grown;

	if (*array && count < *capacity)
		return true;
	grown = realloc(*array, more * size);
	if (!grown)
		return false;
	*array = grown;
	*capacity = more;
	return true;
}

static struct peer *get_or_add_peer(struct mbr *mbr, struct str id,
				    apr_time_t now)
{
	const size_t at = peer_lower_bound(mbr, id);
	struct peer *peer = find_peer(mbr, id);

	if (peer)
		return peer;
	if (!grow_array((void **)&mbr->peers, mbr->peer_count,
			&mbr->peer_capacity, sizeof(*mbr->peers)))
		return NULL;
	peer = &mbr->peers[at];
	memmove(peer + 1, peer, (mbr->peer_count - at) * sizeof(*peer));
	mbr->peer_count++;
	*peer = (struct peer){.known_since = now};
	strbuf_set(&peer->id, id);
	return peer;
}

static struct mbr_report *get_or_add_report(struct mbr *mbr, struct str domain)
{
	struct mbr_report *report;

	for (size_t i = 0; i < mbr->report_count; i++) {
		if (str_eq(strbuf_str(&mbr->reports[i].domain), domain))
			return &mbr->reports[i];
	}
	if (!grow_array((void **)&mbr->reports, mbr->report_count,
			&mbr->report_capacity, sizeof(*mbr->reports)))
		return NULL;
	report = &mbr->reports[mbr->report_count++];
	*report = (struct mbr_report){
		.observed_at = INT64_MIN,
		.absent_at = INT64_MIN,
	};
	strbuf_set(&report->domain, domain);
	return report;
}

static bool heard_recently(const struct mbr *mbr, const struct peer *peer,
			   apr_time_t now)
{
	return peer && peer->heard_at && now - peer->heard_at <= mbr->timeout;
}

static bool is_suspected(const struct mbr *mbr, const struct peer *peer,
			 apr_time_t now)
{
	return peer && peer->failures >= FAILURES_TO_SUSPECT &&
	       now - peer->failed_at <= LAPSE_TIMEOUTS * mbr->timeout;
}

static bool is_neighbour(const struct vm *vm, struct str self,
			 struct str domain)
{
	return vm->kind == VM_ENTRY &&
	       str_eq(strbuf_str(&vm->domain), domain) &&
	       !str_eq(strbuf_str(&vm->id), self);
}

/*
 * Whether a VM has sent nothing for the timeout, counted from the time when it
 * became known or this VM began to listen.
 */
static bool is_silent(struct mbr *mbr, const struct vm *vm,
		      apr_time_t listening_since, apr_time_t now)
{
	const struct peer *peer =
		get_or_add_peer(mbr, strbuf_str(&vm->id), now);
	apr_time_t since;

	if (!peer || heard_recently(mbr, peer, now))
		return false;
	since = peer->known_since > listening_since ? peer->known_since
						    : listening_since;
	return now - since > mbr->timeout;
}

static bool is_reported_absent(const struct mbr *mbr, const struct vm *vm,
			       apr_time_t now)
{
	for (size_t i = 0; i < mbr->report_count; i++) {
		const struct mbr_report *report = &mbr->reports[i];

		if (!strbuf_eq(&report->domain, &vm->domain) ||
		    now - report->observed_at > LAPSE_TIMEOUTS * mbr->timeout)
			continue;
		for (size_t j = 0; j < report->count; j++) {
			if (strbuf_eq(&report->absent[j], &vm->id))
				return true;
		}
	}
	return false;
}

static bool is_absent(const struct mbr *mbr, const struct vm *vm,
		      struct str self, apr_time_t now)
{
	const struct str id = strbuf_str(&vm->id);
	const struct peer *peer = find_peer(mbr, id);

	if (vm->kind != VM_ENTRY || str_eq(id, self))
		return false;
	if (is_suspected(mbr, peer, now))
		return true;
	return !heard_recently(mbr, peer, now) &&
	       is_reported_absent(mbr, vm, now);
}

static bool is_drained(const struct vm *vm, const struct mbr_drain *drains,
		       size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&vm->id), drains[i].id))
			return true;
	}
	return false;
}

int mbr_create(struct mbr **out, apr_interval_time_t timeout)
{
	struct mbr *mbr = calloc(1, sizeof(*mbr));

	if (!mbr)
		return PST_ERR_NOMEM;
	mbr->timeout = timeout;
	*out = mbr;
	return 0;
}

void mbr_destroy(struct mbr *mbr)
{
	if (!mbr)
		return;
	for (size_t i = 0; i < mbr->report_count; i++)
		free(mbr->reports[i].absent);
	free(mbr->reports);
	free(mbr->peers);
	free(mbr);
}

void mbr_heard(struct mbr *mbr, struct str id, apr_time_t now)
{
	struct peer *peer = get_or_add_peer(mbr, id, now);

	if (!peer)
		return;
	peer->heard_at = now;
	peer->failures = 0;
}

void mbr_failed(struct mbr *mbr, struct str id, apr_time_t now)
{
	struct peer *peer = get_or_add_peer(mbr, id, now);

	if (!peer)
		return;
	peer->failed_at = now;
	peer->failures++;
}

void mbr_observe(struct mbr *mbr, const struct vml *list, struct str self,
		 struct str domain, apr_time_t listening_since, apr_time_t now)
{
	struct str *ids = calloc(list->count + 1, sizeof(*ids));
	size_t neighbours = 0;
	size_t count = 0;

	if (!ids)
		return;
	for (size_t i = 0; i < list->count; i++) {
		const struct vm *vm = &list->vms[i];

		if (!is_neighbour(vm, self, domain))
			continue;
		neighbours++;
		if (is_silent(mbr, vm, listening_since, now))
			ids[count++] = strbuf_str(&vm->id);
	}
	if (neighbours > 1 && count == neighbours)
		count = 0;
	if (now - listening_since > mbr->timeout)
		mbr_merge(mbr, domain, ids, count, now);
	free(ids);
}

void mbr_merge(struct mbr *mbr, struct str domain, const struct str *absent_ids,
	       size_t count, apr_time_t observed_at)
{
	struct mbr_report *report = get_or_add_report(mbr, domain);
	struct strbuf *copy;

	if (!report)
		return;
	if (count && report->absent_at < observed_at)
		report->absent_at = observed_at;
	if (report->observed_at >= observed_at)
		return;
	copy = calloc(count + 1, sizeof(*copy));
	if (!copy)
		return;
	for (size_t i = 0; i < count; i++)
		strbuf_set(&copy[i], absent_ids[i]);
	free(report->absent);
	report->absent = copy;
	report->count = count;
	report->observed_at = observed_at;
}

const struct mbr_report *mbr_reports(const struct mbr *mbr, size_t *count)
{
	*count = mbr->report_count;
	return mbr->reports;
}

bool mbr_report_is_relevant(const struct mbr *mbr,
			    const struct mbr_report *report, apr_time_t now)
{
	return report->count ||
	       (report->absent_at != INT64_MIN &&
		now - report->absent_at <= LAPSE_TIMEOUTS * mbr->timeout);
}

int mbr_correct(const struct mbr *mbr, const struct vml *list, struct str self,
		const struct mbr_drain *drains, size_t drain_count,
		uint64_t revision, apr_time_t now, struct vml **out)
{
	const int err = vml_create(out, list->count);

	if (err)
		return err;
	(*out)->revision = revision;
	for (size_t i = 0; i < list->count; i++) {
		struct vm *vm = &(*out)->vms[i];

		*vm = list->vms[i];
		if (is_absent(mbr, vm, self, now) ||
		    is_drained(vm, drains, drain_count))
			vm->state = VM_LEAVING;
	}
	return 0;
}

bool mbr_lists_equal(const struct vml *a, const struct vml *b)
{
	if (a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++) {
		if (!strbuf_eq(&a->vms[i].id, &b->vms[i].id) ||
		    !vm_equal(&a->vms[i], &b->vms[i]))
			return false;
	}
	return true;
}
