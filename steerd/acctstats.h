/* Counters of permits and accounts, and their log lines. */
#ifndef STEERD_ACCTSTATS_H
#define STEERD_ACCTSTATS_H

#include "steerd/acct_state.h"

enum acctstats_datagram {
	ACCTSTATS_SENT,
	ACCTSTATS_NOT_SENT,
	ACCTSTATS_TAKEN,
	ACCTSTATS_DAMAGED,
};

void acctstats_count_datagram(enum acctstats_datagram way);

/* An ask of this VM; to as in struct permits_ask. */
void acctstats_count_ask(bool is_own, unsigned to);

/* An answer of an account of this VM; NULL: to a VM with an unknown tenant. */
void acctstats_count_answer(const struct account_answer *answer);

/* An ask was answered again when tokens of other accounts had come. */
void acctstats_count_late_grant(unsigned permits);

/* A pull that this VM sent or answered, and tokens that it got or gave. */
void acctstats_count_pull(bool is_own);
void acctstats_count_tokens(bool is_own, double tokens);

/* The wait for a permit has ended. */
void acctstats_record_wait(apr_interval_time_t waited);

/* A request was admitted without an account. */
void acctstats_count_alone(void);

void acctstats_count_refusal(enum permits_verdict verdict);

/* Whether another line may be written; sets how many were left out before. */
bool acctstats_may_log(struct acct_loglimit *limit, apr_time_t now,
		       unsigned *skipped);

/* Logs that this VM's share of the tenant's limit begins or ends. */
void acctstats_log_share(struct acct_tenant *tenant,
			 const struct account_place *place);

/* The name of a tenant of the manifest in force, or "-". */
struct str acctstats_name(const struct accounts *accounts, uint64_t hash);

#endif
