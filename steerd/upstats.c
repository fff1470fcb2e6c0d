#include "steerd/upstats.h"

#include <ctype.h>

#include "common/ctr.h"
#include "steerd/pacelog.h"

enum gauge {
	GAUGE_LEAVING_ENTRY,
	GAUGE_LEAVING_ANSWER,
	GAUGE_QUIET,
	GAUGE_PACED,
	GAUGES,
};

static const struct {
	/* Set in the first gauge of each name. */
	const char *help;
	const char *name;
	const char *label;
} gauges[] = {
	[GAUGE_LEAVING_ENTRY] = {"Upstreams that leave now, by what said so.",
				 "pst_upstreams_leaving", "by=\"entry\","},
	[GAUGE_LEAVING_ANSWER] = {NULL, "pst_upstreams_leaving",
				  "by=\"answer\","},
	[GAUGE_QUIET] = {"Upstreams that want no requests now.",
			 "pst_upstreams_quiet", ""},
	[GAUGE_PACED] = {"Upstreams that get a part of their requests now, "
			 "since they are slow to start.",
			 "pst_upstreams_paced", ""},
};

static bool is_label_text(struct str name)
{
	for (size_t i = 0; i < name.len; i++) {
		const unsigned char c = (unsigned char)name.ptr[i];

		if (!isalnum(c) && c != '.' && c != '-' && c != '_')
			return false;
	}
	return name.len > 0;
}

static unsigned count(const struct registry_service *svc, enum gauge gauge,
		      apr_time_t now)
{
	unsigned n = 0;

	for (size_t i = 0; svc && i < svc->count; i++) {
		struct up *up = svc->ups[i];

		switch (gauge) {
		case GAUGE_LEAVING_ENTRY:
			n += up->state == UP_DRAINING && !up->leaving;
			break;
		case GAUGE_LEAVING_ANSWER:
			n += up->leaving;
			break;
		case GAUGE_QUIET:
			n += up->quiet_until > now;
			break;
		case GAUGE_PACED:
			n += up_is_cold(up, now) ||
			     pace_share(&up->pace, svc->trouble, now) < 1;
			break;
		case GAUGES:
			break;
		}
	}
	return n;
}

static int put_gauge(const struct st *st, enum gauge gauge, struct buf *out)
{
	const struct routing *routing = st->routing;
	const apr_time_t now = clk_now(st->clk);
	int err = 0;

	if (gauges[gauge].help)
		err = buf_addf(out, "# HELP %s %s\n# TYPE %s gauge\n",
			       gauges[gauge].name, gauges[gauge].help,
			       gauges[gauge].name);
	for (size_t i = 0; !err && i < routing->service_count; i++) {
		const struct str name = routing->services[i].name;

		if (!is_label_text(name))
			continue;
		err = buf_addf(out, "%s{%sservice=\"%.*s\"} %u\n",
			       gauges[gauge].name, gauges[gauge].label,
			       STR_ARG(name),
			       count(registry_find_service(&st->registry, name),
				     gauge, now));
	}
	return err;
}

int upstats_put_gauges(const struct st *st, struct buf *out)
{
	int err = 0;

	for (enum gauge g = 0; st->routing && !err && g < GAUGES; g++) {
		if (g != GAUGE_PACED || pacelog_is_on(st))
			err = put_gauge(st, g, out);
	}
	return err;
}

void upstats_count_kept_away(const struct up *up)
{
	const char *cause;

	if (up->state == UP_GONE)
		cause = "cause=\"gone\"";
	else if (up->state == UP_DRAINING)
		cause = "cause=\"leaving\"";
	else
		cause = "cause=\"quiet\"";
	ctr_add(ctr_get("pst_requests_kept_away_total", cause,
			"Requests that waited for a connection to an upstream "
			"when it stopped taking them."),
		1);
}
