#include "steerd/said.h"

#include "common/ctr.h"
#include "common/evt.h"
#include "steerd/loads.h"

#define LOG_MODULE "said"

/* Records the load report in an answer, and shares it with other VMs. */
static void record_load(struct st *st, struct up *up,
			const struct up_load_report *load, apr_time_t now)
{
	up_note_load_report(up, load, now);
	if (st->loads)
		loads_share(st->loads, up, load, now);
}

static void record_leaving(struct up *up, struct str req)
{
	if (!up_note_leaving(up))
		return;
	evt_log(UPSTREAM_LEAVING, "req=%.*s upstream=%s", STR_ARG(req),
		up->id.ptr);
	ctr_add(ctr_get("pst_upstreams_leaving_total", "by=\"answer\"",
			"Upstreams that said that they leave."),
		1);
	upclient_close_idle(up);
}

static void record_quiet(const struct st *st, struct up *up,
			 apr_interval_time_t quiet, struct str req,
			 apr_time_t now)
{
	up_note_quiet(up, quiet, vms_hash(st->set->vm.id), now);
	evt_log(UPSTREAM_QUIET, "req=%.*s upstream=%s quiet_ms=%lld",
		STR_ARG(req), up->id.ptr,
		(long long)(up->quiet_until - now) / 1000);
	ctr_add(ctr_get("pst_upstreams_quiet_total", "",
			"Refusals that asked for a time without requests."),
		1);
}

void said_record(struct st *st, const struct upclient_call *call, struct up *up,
		 struct str req, apr_time_t now)
{
	const struct answer_meta *marks = &call->marks;

	if (marks->has_load)
		record_load(st, up, &marks->load, now);
	if (!marks->matched)
		return;
	if (marks->leaving)
		record_leaving(up, req);
	if (marks->retry_after && call->answer->parser.status_code == 503)
		record_quiet(st, up, marks->retry_after, req, now);
	registry_keep_words(&st->registry, up);
}
