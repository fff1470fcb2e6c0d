#include "policy/peerload.h"

#include "common/clk.h"

/* Ratio of requests to slots from which an upstream's report is shared. */
#define MIN_QUEUED_RATIO 1.25

/*
 * Run time in percent of usual from which an upstream is reported as slow. Run
 * times vary by less than that between requests.
 */
#define MIN_SLOW_SPEED 125

/* Reports older than this are ignored. */
#define MAX_REPORT_AGE CLK_SEC(2)

/*
 * Index of the upstream's report if it has one, else of a free entry, else of
 * the oldest report, which is replaced.
 */
static size_t find_entry(const struct peerload_report *reports, size_t count,
			 struct str upstream)
{
	size_t oldest = 0;

	for (size_t i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&reports[i].upstream), upstream))
			return i;
		if (reports[i].at < reports[oldest].at)
			oldest = i;
	}
	return count < PEERLOAD_MAX_REPORTS ? count : oldest;
}

/* Adds a report, in place of an older one of the upstream or of the oldest. */
static void add_entry(struct peerload_report *reports, size_t *count,
		      const struct peerload_report *report)
{
	const size_t at =
		find_entry(reports, *count, strbuf_str(&report->upstream));

	if (at == *count)
		++*count;
	reports[at] = *report;
}

bool peerload_add_report(struct peerload *peerload, const struct up *up,
			 const struct up_load_report *load, apr_time_t now)
{
	const unsigned requests = load->running + load->waiting;
	const struct peerload_report report = {
		.upstream = up->id,
		.requests = requests,
		.at = now,
	};

	if (requests < MIN_QUEUED_RATIO * up->slots)
		return false;
	add_entry(peerload->reports, &peerload->count, &report);
	return true;
}

bool peerload_add_speed(struct peerload *peerload, const struct up *up,
			const struct up_load_report *load, apr_time_t now)
{
	const struct peerload_report report = {
		.upstream = up->id,
		.speed = load->speed,
		.at = now,
	};

	if (load->speed < MIN_SLOW_SPEED)
		return false;
	add_entry(peerload->slow, &peerload->slow_count, &report);
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

static bool is_usable(const struct peerload_report *report, apr_time_t known_at,
		      apr_time_t now)
{
	return report->at > known_at && report->at <= now &&
	       now - report->at <= MAX_REPORT_AGE;
}

bool peerload_apply_report(struct registry *registry,
			   const struct peerload_report *report, apr_time_t now)
{
	struct up *up = registry_find(registry, strbuf_str(&report->upstream));
	const struct up_load_report load = {.running = report->requests};

	if (!up || !is_usable(report, up->report_at, now))
		return false;
	up_note_load_report(up, &load, report->at);
	up->report_shared = true;
	return true;
}

bool peerload_apply_speed(struct registry *registry,
			  const struct peerload_report *report, apr_time_t now)
{
	struct up *up = registry_find(registry, strbuf_str(&report->upstream));

	if (!up || !report->speed || report->speed > UPSPEED_MAX ||
	    !is_usable(report, up->speed.at, now))
		return false;
	upspeed_note(&up->speed, report->speed, report->at);
	up->speed_shared = true;
	return true;
}
