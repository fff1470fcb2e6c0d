#include "steerd/loadmsg.h"

#include <rpc/rpc.h>

#include "schema/gen/loads.h"

static bool encode_queues(XDR *xdr, const struct loadmsg *in, apr_time_t now)
{
	struct lds_x_report reports[PEERLOAD_MAX_REPORTS];
	struct lds_x_batch batch = {
		.kind = LDS_X_KIND,
		.reports = {.reports_len = (u_int)in->count,
			    .reports_val = reports},
	};

	for (size_t i = 0; i < in->count; i++)
		reports[i] = (struct lds_x_report){
			.upstream =
				(char *)(uintptr_t)in->reports[i].upstream.ptr,
			.requests = in->reports[i].requests,
			.age_us = (u_int)(now - in->reports[i].at),
		};
	return xdr_lds_x_batch(xdr, &batch);
}

static bool encode_speeds(XDR *xdr, const struct loadmsg *in, apr_time_t now)
{
	struct lds_x_speed speeds[PEERLOAD_MAX_REPORTS];
	struct lds_x_speeds batch = {
		.kind = LDS_X_SPEEDS_KIND,
		.speeds = {.speeds_len = (u_int)in->count,
			   .speeds_val = speeds},
	};

	for (size_t i = 0; i < in->count; i++)
		speeds[i] = (struct lds_x_speed){
			.upstream =
				(char *)(uintptr_t)in->reports[i].upstream.ptr,
			.percent = in->reports[i].speed,
			.age_us = (u_int)(now - in->reports[i].at),
		};
	return xdr_lds_x_speeds(xdr, &batch);
}

size_t loadmsg_encode(const struct loadmsg *in, apr_time_t now, char *out,
		      size_t size)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	ok = in->kind == LOADMSG_QUEUES ? encode_queues(&xdr, in, now)
					: encode_speeds(&xdr, in, now);
	return ok ? xdr_getpos(&xdr) : 0;
}

/* Adds a report; one with an id that is too long is left out. */
static void add(struct loadmsg *out, const char *upstream,
		const struct peerload_report *report)
{
	struct peerload_report *next = &out->reports[out->count];

	*next = *report;
	if (!strbuf_set(&next->upstream, str_from_c(upstream)))
		out->count++;
}

static bool decode_queues(XDR *xdr, apr_time_t now, struct loadmsg *out)
{
	struct lds_x_batch batch = {0};
	const bool ok = xdr_lds_x_batch(xdr, &batch);

	for (u_int i = 0; ok && i < batch.reports.reports_len; i++) {
		const struct lds_x_report *got = &batch.reports.reports_val[i];
		const struct peerload_report report = {
			.requests = got->requests,
			.at = now - (apr_interval_time_t)got->age_us,
		};

		add(out, got->upstream, &report);
	}
	xdr_free((xdrproc_t)xdr_lds_x_batch, &batch);
	return ok;
}

static bool decode_speeds(XDR *xdr, apr_time_t now, struct loadmsg *out)
{
	struct lds_x_speeds batch = {0};
	const bool ok = xdr_lds_x_speeds(xdr, &batch);

	for (u_int i = 0; ok && i < batch.speeds.speeds_len; i++) {
		const struct lds_x_speed *got = &batch.speeds.speeds_val[i];
		const struct peerload_report report = {
			.speed = got->percent,
			.at = now - (apr_interval_time_t)got->age_us,
		};

		add(out, got->upstream, &report);
	}
	xdr_free((xdrproc_t)xdr_lds_x_speeds, &batch);
	return ok;
}

bool loadmsg_decode(struct str bytes, apr_time_t now, struct loadmsg *out)
{
	char *const start = (char *)(uintptr_t)bytes.ptr;
	u_int kind = 0;
	XDR xdr;

	out->count = 0;
	xdrmem_create(&xdr, start, (u_int)bytes.len, XDR_DECODE);
	if (!xdr_u_int(&xdr, &kind))
		return false;
	xdrmem_create(&xdr, start, (u_int)bytes.len, XDR_DECODE);
	switch (kind) {
	case LDS_X_KIND:
		out->kind = LOADMSG_QUEUES;
		return decode_queues(&xdr, now, out);
	case LDS_X_SPEEDS_KIND:
		out->kind = LOADMSG_SPEEDS;
		return decode_speeds(&xdr, now, out);
	default:
		return false;
	}
}
