#include "steerd/refuse.h"

#include <stdio.h>

#include "common/ctr.h"

static const struct {
	const char *name;
	unsigned status;
	struct str reason;
	/* Whether the request was run, for the body: "no" or "unknown". */
	const char *run;
} causes[] = {
	[REFUSE_NO_TABLE] = {"no_table", 503, STR_LIT("Service Unavailable"),
			     "no"},
	[REFUSE_NO_ROOM] = {"no_room", 503, STR_LIT("Service Unavailable"),
			    "no"},
	[REFUSE_SHED] = {"shed", 503, STR_LIT("Service Unavailable"), "no"},
	[REFUSE_LATE] = {"late", 503, STR_LIT("Service Unavailable"), "no"},
	[REFUSE_PAST_AIM] = {"past_aim", 503, STR_LIT("Service Unavailable"),
			     "no"},
	[REFUSE_YIELDS] = {"yields", 503, STR_LIT("Service Unavailable"), "no"},
	[REFUSE_OVER_SHARE] = {"over_share", 503,
			       STR_LIT("Service Unavailable"), "no"},
	[REFUSE_STOPPING] = {"stopping", 503, STR_LIT("Service Unavailable"),
			     "no"},
	[REFUSE_UNREAD] = {"unread", 503, STR_LIT("Service Unavailable"), "no"},
	[REFUSE_NO_ROUTE] = {"no_route", 404, STR_LIT("Not Found"), "no"},
	[REFUSE_UNKNOWN_KEY] = {"unknown_key", 401, STR_LIT("Unauthorized"),
				"no"},
	[REFUSE_TENANT_CHANGED] = {"tenant_changed", 503,
				   STR_LIT("Service Unavailable"), "no"},
	[REFUSE_NO_REGION] = {"no_region", 403, STR_LIT("Forbidden"), "no"},
	[REFUSE_OVER_LIMIT] = {"over_limit", 429, STR_LIT("Too Many Requests"),
			       "no"},
	[REFUSE_NO_ALLOWANCE] = {"no_allowance", 503,
				 STR_LIT("Service Unavailable"), "no"},
	[REFUSE_UPSTREAM] = {"upstream", 502, STR_LIT("Bad Gateway"),
			     "unknown"},
	[REFUSE_TIMEOUT] = {"timeout", 504, STR_LIT("Gateway Timeout"),
			    "unknown"},
};

unsigned refuse_status(enum refuse_cause cause)
{
	return causes[cause].status;
}

const char *refuse_name(enum refuse_cause cause)
{
	return causes[cause].name;
}

void refuse_send(struct srv_req *req, enum refuse_cause cause,
		 apr_interval_time_t retry_after)
{
	char fields[128];
	char body[128];
	char labels[48];
	int n;

	n = snprintf(fields, sizeof(fields),
		     "Content-Type: application/problem+json\r\n");
	/* Rounded up: a caller must not return too early. */
	if (retry_after > 0)
		n += snprintf(fields + n, sizeof(fields) - (size_t)n,
			      "Retry-After: %lld.%03lld\r\n",
			      (long long)(retry_after + 999) / APR_USEC_PER_SEC,
			      (long long)(retry_after + 999) / 1000 % 1000);
	snprintf(body, sizeof(body), "{\"title\":\"%s\",\"run\":\"%s\"}",
		 causes[cause].name, causes[cause].run);
	snprintf(labels, sizeof(labels), "cause=\"%s\"", causes[cause].name);
	ctr_add(ctr_get("pst_refused_total", labels,
			"Requests that no upstream answered."),
		1);
	srv_answer(req, causes[cause].status, causes[cause].reason,
		   (struct str){.ptr = fields, .len = (size_t)n},
		   str_from_c(body));
}
