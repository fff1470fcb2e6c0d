#include "policy/peerload.h"

#include "common/clk.h"

/* Ratio of requests to slots from which an upstream's report is shared. */
#define MIN_QUEUED_RATIO 1.25

/* Reports older than this are ignored. */
#define MAX_REPORT_AGE CLK_SEC(2)

/*
 * Index of the upstream's report if it has one, else of a free entry, else of
 * the oldest report, which is replaced.
 */
static size_t find_entry(const struct peerload *peerload, struct str upstream)
{
	size_t oldest = 0;

	for (size_t i = 0; i < peerload->count; i++) {
		if (str_eq(strbuf_str(&peerload->reports[i].upstream),
			   upstream))
			return i;
		if (peerload->reports[i].at < peerload->reports[oldest].at)
			oldest = i;
	}
	return peerload->count < PEERLOAD_MAX_REPORTS ? peerload->count
						      : oldest;
}

bool peerload_add_report(struct peerload *peerload, const struct up *up,
			 const struct up_load_report *load, apr_time_t now)
{
	const unsigned requests = load->running + load->waiting;
	size_t at;

	if (requests < MIN_QUEUED_RATIO * up->slots)
		return false;
	at = find_entry(peerload, strbuf_str(&up->id));
	if (at == peerload->count)
		peerload->count++;
	peerload->reports[at] = (struct peerload_report){
		.upstream = up->id,
		.requests = requests,
		.at = now,
	};
	return true;
}

size_t peerload_receivers(struct peerload *peerload, const struct vms *vms,
			  int domain, struct str self,
			  const struct vms_entry **out)
{
	size_t count = 0;
	size_t seen = 0;

	for (; seen < vms->count && count < PEERLOAD_MAX_RECEIVERS; seen++) {
		const struct vms_entry *vm =
			&vms->list[(peerload->receiver_start + seen) %
				   vms->count];

		if (vm->domain == domain && vm->peer.len &&
		    !str_eq(strbuf_str(&vm->id), self))
			out[count++] = vm;
	}
	peerload->receiver_start =
		vms->count ? (peerload->receiver_start + seen) % vms->count : 0;
	return count;
}

bool peerload_apply_report(struct registry *registry,
			   const struct peerload_report *report, apr_time_t now)
{
	struct up *up = registry_find(registry, strbuf_str(&report->upstream));
	const struct up_load_report load = {.running = report->requests};

	if (!up || report->at <= up->report_at || report->at > now ||
	    now - report->at > MAX_REPORT_AGE)
		return false;
	up_note_load_report(up, &load, report->at);
	up->report_shared = true;
	return true;
}
