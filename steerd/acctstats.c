#include "steerd/acctstats.h"

#include <stdio.h>

#include "common/ctr.h"
#include "common/evt.h"

#define LOG_MODULE "accounts"

/* Lines of one kind in a second. */
#define MAX_LINES 20

static void count(const char *name, const char *labels, const char *help,
		  uint64_t n)
{
	ctr_add(ctr_get(name, labels, help), n);
}

void acctstats_count_datagram(enum acctstats_datagram way)
{
	static const char *const labels[] = {
		[ACCTSTATS_SENT] = "way=\"sent\"",
		[ACCTSTATS_NOT_SENT] = "way=\"not_sent\"",
		[ACCTSTATS_TAKEN] = "way=\"taken\"",
		[ACCTSTATS_DAMAGED] = "way=\"damaged\"",
	};

	count("pst_quota_datagrams_total", labels[way],
	      "Datagrams on tenants' limits.", 1);
}

void acctstats_count_ask(bool is_own, unsigned to)
{
	count("pst_quota_asks_total",
	      is_own ? "to=\"own\""
	      : to   ? "to=\"second\""
		     : "to=\"first\"",
	      "Questions for permits, by the account that was asked.", 1);
}

void acctstats_count_answer(const struct account_answer *answer)
{
	const char *labels = "result=\"unknown_tenant\"";

	if (answer)
		labels = answer->permits   ? "result=\"granted\""
			 : answer->pending ? "result=\"pending\""
					   : "result=\"refused\"";
	count("pst_quota_answers_total", labels,
	      "Answers of this VM's accounts to questions for permits.", 1);
	if (answer)
		count("pst_quota_permits_total", "",
		      "Permits granted by this VM's accounts.",
		      answer->permits);
}

void acctstats_count_late_grant(unsigned permits)
{
	count("pst_quota_answers_total", "result=\"granted_late\"",
	      "Answers of this VM's accounts to questions for permits.", 1);
	count("pst_quota_permits_total", "",
	      "Permits granted by this VM's accounts.", permits);
}

void acctstats_count_pull(bool is_own)
{
	count("pst_quota_pulls_total",
	      is_own ? "way=\"sent\"" : "way=\"answered\"",
	      "Questions between the accounts of a tenant for tokens.", 1);
}

void acctstats_count_tokens(bool is_own, double tokens)
{
	count("pst_quota_tokens_milli_total",
	      is_own ? "way=\"taken\"" : "way=\"given\"",
	      "Thousandths of tokens moved between accounts of a tenant.",
	      (uint64_t)(tokens * 1000));
}

void acctstats_record_wait(apr_interval_time_t waited)
{
	static struct hist *waits;

	if (!waits)
		waits = hist_get("pst_quota_wait_us", "",
				 "Time that requests waited for a permit, in "
				 "microseconds.");
	hist_record(waits, waited > 0 ? (uint64_t)waited : 0);
}

void acctstats_count_alone(void)
{
	count("pst_quota_alone_total", "",
	      "Requests admitted while no account answered.", 1);
}

void acctstats_count_refusal(enum permits_verdict verdict)
{
	count("pst_quota_refused_total",
	      verdict == PERMITS_REFUSE ? "cause=\"over_limit\""
					: "cause=\"no_allowance\"",
	      "Requests refused by the limit of their tenant.", 1);
}

bool acctstats_may_log(struct acct_loglimit *limit, apr_time_t now,
		       unsigned *skipped)
{
	const apr_time_t second = now / APR_USEC_PER_SEC;

	if (limit->second != second) {
		limit->second = second;
		limit->lines = 0;
	}
	if (limit->lines == MAX_LINES) {
		limit->skipped++;
		return false;
	}
	limit->lines++;
	*skipped = limit->skipped;
	limit->skipped = 0;
	return true;
}

struct str acctstats_name(const struct accounts *accounts, uint64_t hash)
{
	const struct routing *routing = accounts->st->routing;
	const struct routing_tenant *tenant =
		routing ? routing_tenant_by_hash(routing, hash) : NULL;

	return tenant ? tenant->name : STR_LIT("-");
}

void acctstats_log_share(struct acct_tenant *tenant,
			 const struct account_place *place)
{
	struct accounts *accounts = tenant->accounts;
	const struct str name = acctstats_name(accounts, tenant->hash);
	unsigned skipped;

	if (!acctstats_may_log(&accounts->account_lines,
			       clk_now(accounts->st->clk), &skipped))
		return;
	if (place->share > 0)
		evt_log(ACCOUNT_TAKEN,
			"tenant=%.*s number=%u accounts=%u share=%.4f vms=%zu "
			"skipped=%u",
			STR_ARG(name), place->self, place->accounts,
			place->share, accounts->st->vms.count, skipped);
	else
		evt_log(ACCOUNT_LEFT,
			"tenant=%.*s accounts=%u vms=%zu skipped=%u",
			STR_ARG(name), place->accounts, accounts->st->vms.count,
			skipped);
}
