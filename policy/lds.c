#include "policy/lds.h"

#include "common/clk.h"

/* Ratio of requests to slots from which an upstream's report is shared. */
#define MIN_QUEUED_RATIO 1.25

/* Reports older than this are ignored. */
#define MAX_REPORT_AGE CLK_SEC(2)

/*
 * Index of the upstream's report if it has one, else of a free entry, else of
 * the oldest report, which is replaced.
 */
static size_t find_entry(const struct lds *lds, struct str upstream)
{
	size_t oldest = 0;

	for (size_t i = 0; i < lds->count; i++) {
		if (str_eq(strbuf_str(&lds->reports[i].upstream), upstream))
			return i;
		if (lds->reports[i].at < lds->reports[oldest].at)
			oldest = i;
	}
	return lds->count < LDS_MAX_REPORTS ? lds->count : oldest;
}

bool lds_add_report(struct lds *lds, const struct up *up,
		    const struct up_load_report *load, apr_time_t now)
{
	const unsigned requests = load->running + load->waiting;
	size_t at;

	if (requests < MIN_QUEUED_RATIO * up->slots)
		return false;
	at = find_entry(lds, strbuf_str(&up->id));
	if (at == lds->count)
		lds->count++;
	lds->reports[at] = (struct lds_report){
		.upstream = up->id,
		.requests = requests,
		.at = now,
	};
	return true;
}

size_t lds_receivers(struct lds *lds, const struct vms *vms, int domain,
		     struct str self, const struct vms_entry **out)
{
	size_t count = 0;
	size_t seen = 0;

	for (; seen < vms->count && count < LDS_MAX_RECEIVERS; seen++) {
		const struct vms_entry *vm =
			&vms->list[(lds->receiver_start + seen) % vms->count];

		if (vm->domain == domain && vm->peer.len &&
		    !str_eq(strbuf_str(&vm->id), self))
			out[count++] = vm;
	}
	lds->receiver_start =
		vms->count ? (lds->receiver_start + seen) % vms->count : 0;
	return count;
}

bool lds_apply_report(struct registry *registry,
		      const struct lds_report *report, apr_time_t now)
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
