#include "steerd/verdict.h"

enum up_outcome verdict_outcome(const struct upclient_call *call)
{
	const unsigned status = call->answer->parser.status_code;

	/* A refusal of an earlier request proves nothing of this one. */
	if (!call->marks.matched && (call->marks.not_run || status == 421))
		return UP_OUTCOME_FAILED;
	if (call->marks.not_run || status == 421)
		return UP_OUTCOME_SHED;
	return status >= 500 && status != 504 ? UP_OUTCOME_FAILED
					      : UP_OUTCOME_OK;
}

/* Whether callers conclude from the status that the request was not run. */
static bool implies_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

bool verdict_can_forward(const struct upclient_call *call, bool safe)
{
	const unsigned status = call->answer->parser.status_code;

	if (msg_header(call->answer, STR_LIT("Content-Encoding")).len)
		return false;
	if (!call->marks.matched && call->marks.not_run)
		return false;
	if (implies_not_run(status))
		return safe && call->marks.sealed;
	return status >= 300 || call->marks.sealed;
}
