/*
 * One tenant's account at one VM: a token bucket for this VM's share of the
 * tenant's limit. Pure.
 *
 * Designed for: a tenant whose requests arrive at many VMs, at most of them
 * less than once per second, and a limit that holds over all VMs whether or
 * not they can reach each other. The limit is divided evenly among the
 * accounts, whose number follows from the limit and the list of VMs. An
 * account that runs short pulls tokens from the others. A token is removed
 * where it comes from before it is sent, so lost messages, failed VMs and
 * partitions can only lower the total.
 *
 * The accounts of a tenant are numbered from 0: by region, in the order of the
 * regions' names, and within a region by position in the tenant's
 * rendezvous-hashing order of its VMs.
 */
#ifndef POLICY_ACCOUNT_H
#define POLICY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/account_limits.h"
#include "policy/account_waiters.h"

/*
 * Other accounts whose last reply is remembered: bounded, so that an account
 * does not grow with the number of VMs.
 */
#define ACCOUNT_PEERS 64

/* Pulls that may be in flight at the same time. */
#define ACCOUNT_PULLS 2

/* Time for which the lists of two VMs may differ, and a margin. */
#define ACCOUNT_LIST_SPREAD_US 3000000

/*
 * An interval in which the process did not run, from which on its list of VMs
 * counts as outdated.
 */
#define ACCOUNT_STALL_US 800000

/* What the list of VMs says of an account. */
struct account_place {
	/* Accounts of the tenant in all regions, at least 1. */
	unsigned accounts;
	/* Number of this account; accounts if this VM has no share. */
	unsigned self;
	/* Part of the limit: 1 / (regions x accounts of the region), or 0. */
	double share;
	/* Accounts of the tenant in this VM's region. */
	unsigned region_accounts;
};

/* The answer to a VM that asks for permits. */
struct account_answer {
	unsigned permits;
	/*
	 * Time in us until there may be another one; 0: any time. Above 0 if
	 * permits are fewer than wanted, but for ask_next.
	 */
	apr_interval_time_t retry_after;
	/* Other accounts are being asked; ask again then. */
	bool pending;
	/*
	 * The account's share is not in use yet, and there is another account
	 * in the region, which is to be asked.
	 */
	bool ask_next;
};

/* A question for tokens to another account. */
struct account_pull {
	uint32_t id;
	/* Number of the account that is asked. */
	unsigned to;
	/* Tokens that the asking account can take, has, and uses per second. */
	double wanted;
	double tokens;
	double per_s;
	/* Requests that wait for a token. */
	double unmet;
};

/* Its answer. */
struct account_give {
	uint32_t id;
	double tokens;
	/* Tokens that the giving account keeps, and uses per second. */
	double left;
	double per_s;
};

struct account_peer {
	/* Number of the account plus 1; 0: unused. */
	unsigned number;
	double left;
	double per_s;
	apr_time_t at;
};

struct account_sent_pull {
	uint32_t id;
	unsigned to;
	/* 0: none in flight. */
	apr_time_t at;
};

struct account {
	struct account_place place;
	/* Share in use: the least that the lists gave it recently. */
	double share;
	/* When a higher share of the list takes effect: the later of both. */
	apr_time_t rise_at;
	apr_time_t barred_until;
	double tokens;
	apr_time_t refilled_at;
	/* Tokens of an account without a share are dropped then. */
	apr_time_t drop_at;
	/* Smoothed requests per second that it is asked for. */
	double per_s;
	apr_time_t asked_at;
	/* Until when refilled tokens are expected by VMs sent away. */
	apr_time_t promised_until;
	/* Requests of the last answer that got nothing. */
	unsigned unmet;
	/* Asks that were answered with pending; added by the caller. */
	struct account_waiters waiters;
	struct account_sent_pull pulls[ACCOUNT_PULLS];
	uint32_t next_id;
	/* Pulls that may still be sent in this round, and the next round. */
	unsigned pulls_left;
	apr_time_t round_at;
	apr_time_t next_pull_at;
	/* The last round brought nothing. */
	bool is_dry;
	double round_got;
	struct account_peer peers[ACCOUNT_PEERS];
};

/*
 * A new account. since is when this VM's list and limit last gave it a smaller
 * share, or when the process started if that is later; passing the time of the
 * last change of the list or of the limit is safe. The share is 0 and the
 * bucket empty until ACCOUNT_LIST_SPREAD_US after since, and refills from then
 * on.
 */
void account_init(struct account *account, const struct account_limits *limits,
		  const struct account_place *place, apr_time_t since,
		  apr_time_t now);

/*
 * The process of a VM that stayed listed has restarted: the others' shares have
 * not changed, so this one is used at once. The bucket is empty, since what the
 * processes before it granted is not known, and it may restart again and again.
 * To be called right after account_init().
 */
void account_resume(struct account *account, apr_time_t now);

/*
 * The list of VMs or the limit has changed. A smaller share applies at once, a
 * larger one after ACCOUNT_LIST_SPREAD_US.
 */
void account_set_place(struct account *account,
		       const struct account_limits *limits,
		       const struct account_place *place, apr_time_t now);

/*
 * Uses no share until then, since a VM that does not know of this one may use
 * it. To be called right after account_init() and account_set_place().
 */
void account_bar(struct account *account, apr_time_t until, apr_time_t now);

/*
 * The process did not run for ACCOUNT_STALL_US. To be called for every account
 * before any other call, as its VM may no longer be listed.
 */
void account_note_stall(struct account *account, apr_time_t now);

/* Grants up to wanted permits to a VM; wanted is at least 1. */
void account_grant(struct account *account, const struct account_limits *limits,
		   unsigned wanted, apr_time_t now, struct account_answer *out);

/*
 * Whether a waiter can have permits now, which are then taken. To be called
 * until it returns false, after account_note_give(). In *out, unmet is the
 * number of permits.
 */
bool account_next_waiter(struct account *account,
			 const struct account_limits *limits, apr_time_t now,
			 struct account_waiter *out);

/*
 * Whether another account is to be asked now; the question counts as sent
 * then. To be called until it returns false, after account_grant() and
 * account_note_give(). random chooses among accounts that look alike.
 */
bool account_next_pull(struct account *account,
		       const struct account_limits *limits, uint64_t random,
		       apr_time_t now, struct account_pull *out);

/* Answers a pull of another account of the tenant. */
void account_answer_pull(struct account *account,
			 const struct account_limits *limits,
			 const struct account_pull *pull, apr_time_t now,
			 struct account_give *out);

/* An answer has arrived; a late or unknown one is ignored. */
void account_note_give(struct account *account,
		       const struct account_limits *limits,
		       const struct account_give *give, apr_time_t now);

#endif
