#include "policy/liveness.h"

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

struct liveness {
	apr_interval_time_t timeout;
	/* Sorted by id. */
	struct peer *peers;
	size_t peer_count;
	size_t peer_capacity;
	/* One for each domain, in the order in which they came. */
	struct liveness_report *reports;
	size_t report_count;
	size_t report_capacity;
};

static size_t peer_lower_bound(const struct liveness *liveness, struct str id)
{
	size_t low = 0;
	size_t high = liveness->peer_count;

	while (low < high) {
		const size_t middle = (low + high) / 2;

		if (str_cmp(strbuf_str(&liveness->peers[middle].id), id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct peer *find_peer(const struct liveness *liveness, struct str id)
{
	const size_t at = peer_lower_bound(liveness, id);

	if (at < liveness->peer_count &&
	    str_eq(strbuf_str(&liveness->peers[at].id), id))
		return &liveness->peers[at];
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

static struct peer *get_or_add_peer(struct liveness *liveness, struct str id,
				    apr_time_t now)
{
	const size_t at = peer_lower_bound(liveness, id);
	struct peer *peer = find_peer(liveness, id);

	if (peer)
		return peer;
	if (!grow_array((void **)&liveness->peers, liveness->peer_count,
			&liveness->peer_capacity, sizeof(*liveness->peers)))
		return NULL;
	peer = &liveness->peers[at];
	memmove(peer + 1, peer, (liveness->peer_count - at) * sizeof(*peer));
	liveness->peer_count++;
	*peer = (struct peer){.known_since = now};
	strbuf_set(&peer->id, id);
	return peer;
}

static struct liveness_report *get_or_add_report(struct liveness *liveness,
						 struct str domain)
{
	struct liveness_report *report;

	for (size_t i = 0; i < liveness->report_count; i++) {
		if (str_eq(strbuf_str(&liveness->reports[i].domain), domain))
			return &liveness->reports[i];
	}
	if (!grow_array((void **)&liveness->reports, liveness->report_count,
			&liveness->report_capacity, sizeof(*liveness->reports)))
		return NULL;
	report = &liveness->reports[liveness->report_count++];
	*report = (struct liveness_report){
		.observed_at = INT64_MIN,
		.absent_at = INT64_MIN,
	};
	strbuf_set(&report->domain, domain);
	return report;
}

static bool heard_recently(const struct liveness *liveness,
			   const struct peer *peer, apr_time_t now)
{
	return peer && peer->heard_at &&
	       now - peer->heard_at <= liveness->timeout;
}

static bool is_suspected(const struct liveness *liveness,
			 const struct peer *peer, apr_time_t now)
{
	return peer && peer->failures >= FAILURES_TO_SUSPECT &&
	       now - peer->failed_at <= LAPSE_TIMEOUTS * liveness->timeout;
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
static bool is_silent(struct liveness *liveness, const struct vm *vm,
		      apr_time_t listening_since, apr_time_t now)
{
	const struct peer *peer =
		get_or_add_peer(liveness, strbuf_str(&vm->id), now);
	apr_time_t since;

	if (!peer || heard_recently(liveness, peer, now))
		return false;
	since = peer->known_since > listening_since ? peer->known_since
						    : listening_since;
	return now - since > liveness->timeout;
}

static bool is_reported_absent(const struct liveness *liveness,
			       const struct vm *vm, apr_time_t now)
{
	for (size_t i = 0; i < liveness->report_count; i++) {
		const struct liveness_report *report = &liveness->reports[i];

		if (!strbuf_eq(&report->domain, &vm->domain) ||
		    now - report->observed_at >
			    LAPSE_TIMEOUTS * liveness->timeout)
			continue;
		for (size_t j = 0; j < report->count; j++) {
			if (strbuf_eq(&report->absent[j], &vm->id))
				return true;
		}
	}
	return false;
}

static bool is_absent(const struct liveness *liveness, const struct vm *vm,
		      struct str self, apr_time_t now)
{
	const struct str id = strbuf_str(&vm->id);
	const struct peer *peer = find_peer(liveness, id);

	if (vm->kind != VM_ENTRY || str_eq(id, self))
		return false;
	if (is_suspected(liveness, peer, now))
		return true;
	return !heard_recently(liveness, peer, now) &&
	       is_reported_absent(liveness, vm, now);
}

static bool is_drained(const struct vm *vm, const struct liveness_drain *drains,
		       size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&vm->id), drains[i].id))
			return true;
	}
	return false;
}

int liveness_create(struct liveness **out, apr_interval_time_t timeout)
{
	struct liveness *liveness = calloc(1, sizeof(*liveness));

	if (!liveness)
		return PST_ERR_NOMEM;
	liveness->timeout = timeout;
	*out = liveness;
	return 0;
}

void liveness_destroy(struct liveness *liveness)
{
	if (!liveness)
		return;
	for (size_t i = 0; i < liveness->report_count; i++)
		free(liveness->reports[i].absent);
	free(liveness->reports);
	free(liveness->peers);
	free(liveness);
}

void liveness_heard(struct liveness *liveness, struct str id, apr_time_t now)
{
	struct peer *peer = get_or_add_peer(liveness, id, now);

	if (!peer)
		return;
	peer->heard_at = now;
	peer->failures = 0;
}

void liveness_failed(struct liveness *liveness, struct str id, apr_time_t now)
{
	struct peer *peer = get_or_add_peer(liveness, id, now);

	if (!peer)
		return;
	peer->failed_at = now;
	peer->failures++;
}

void liveness_observe(struct liveness *liveness, const struct vmlist *list,
		      struct str self, struct str domain,
		      apr_time_t listening_since, apr_time_t now)
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
		if (is_silent(liveness, vm, listening_since, now))
			ids[count++] = strbuf_str(&vm->id);
	}
	if (neighbours > 1 && count == neighbours)
		count = 0;
	if (now - listening_since > liveness->timeout)
		liveness_merge(liveness, domain, ids, count, now);
	free(ids);
}

void liveness_merge(struct liveness *liveness, struct str domain,
		    const struct str *absent_ids, size_t count,
		    apr_time_t observed_at)
{
	struct liveness_report *report = get_or_add_report(liveness, domain);
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

const struct liveness_report *liveness_reports(const struct liveness *liveness,
					       size_t *count)
{
	*count = liveness->report_count;
	return liveness->reports;
}

bool liveness_report_is_relevant(const struct liveness *liveness,
				 const struct liveness_report *report,
				 apr_time_t now)
{
	return report->count ||
	       (report->absent_at != INT64_MIN &&
		now - report->absent_at <= LAPSE_TIMEOUTS * liveness->timeout);
}

int liveness_correct(const struct liveness *liveness, const struct vmlist *list,
		     struct str self, const struct liveness_drain *drains,
		     size_t drain_count, uint64_t revision, apr_time_t now,
		     struct vmlist **out)
{
	const int err = vmlist_create(out, list->count);

	if (err)
		return err;
	(*out)->revision = revision;
	for (size_t i = 0; i < list->count; i++) {
		struct vm *vm = &(*out)->vms[i];

		*vm = list->vms[i];
		if (is_absent(liveness, vm, self, now) ||
		    is_drained(vm, drains, drain_count))
			vm->state = VM_LEAVING;
	}
	return 0;
}

bool liveness_lists_equal(const struct vmlist *a, const struct vmlist *b)
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
