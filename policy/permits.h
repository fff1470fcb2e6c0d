/*
 * One tenant's permits at one VM: which requests may be sent, which wait for a
 * permit, and when the tenant's account is asked. Pure.
 *
 * Designed for: limits far below one request a second and VM, so that a VM has
 * no part of its own worth keeping, and accounts that do not answer. See
 * policy/account.h for the other side.
 */
#ifndef POLICY_PERMITS_H
#define POLICY_PERMITS_H

#include "policy/account.h"

/* Requests of one tenant that may wait at one VM. */
#define PERMITS_MAX_WAITING 64

enum permits_verdict {
	/* A permit was taken: the request may be sent. */
	PERMITS_SEND,
	/* No permit yet: the caller waits and calls permits_resume(). */
	PERMITS_WAIT,
	/* The tenant is over its limit. */
	PERMITS_REFUSE,
	/* No account answers, and this VM alone may admit no more. */
	PERMITS_UNKNOWN,
};

/* What the decision of a VM without any account depends on. */
struct permits_env {
	/* Hash of the tenant's name. */
	uint64_t tenant;
	/* Listed VMs, at least 1, and this one's number among them by name. */
	unsigned vms;
	unsigned index;
};

/* A question to an account. */
struct permits_ask {
	uint32_t id;
	unsigned wanted;
	/* 0: the first account for this VM, 1: the one after it, and so on. */
	unsigned to;
};

/* Its answer. */
struct permits_grant {
	uint32_t id;
	unsigned permits;
	/*
	 * If permits is 0: time in us until there may be one; 0: the next
	 * account is to be asked, as this one knows no such tenant or has no
	 * share yet.
	 */
	apr_interval_time_t retry_after;
	/* If permits is 0: the account asks others; ask again then. */
	bool pending;
};

/* Permits of one ask; they expire by the time at which it was sent. */
struct permits_batch {
	unsigned left;
	unsigned taken;
	apr_time_t expires_at;
};

/* Zeroed memory is a valid state without permits. */
struct permits {
	/* Limit by which the rest of this state came about. */
	double rate;
	double burst;
	/* The last batch of permits and the one before. */
	struct permits_batch batches[2];
	unsigned waiting;
	/* Smoothed requests per second. */
	double per_s;
	apr_time_t counted_at;
	/* The ask in flight: 0 attempts if there is none. */
	struct permits_ask ask;
	unsigned attempts;
	/* When it was sent first and last. */
	apr_time_t asked_at;
	apr_time_t sent_at;
	uint32_t next_id;
	/* The account asks others, and may answer the last ask once more. */
	bool late_due;
	/* No ask until then for that, and how often so far. */
	apr_time_t pending_until;
	unsigned pending_rounds;
	/*
	 * Accounts that an ask may go to, 2 if that is more; set by the owner.
	 * Accounts that it has been to before the present one; whether that has
	 * yet to be asked.
	 */
	unsigned positions;
	unsigned tried;
	bool moved_on;
	/*
	 * Asks begin with this account until then, since the first does not
	 * answer, and how often in a row.
	 */
	unsigned start_at;
	apr_time_t skip_first_until;
	unsigned skips;
	/* The tenant is over its limit until then, by the last answer. */
	apr_time_t refused_until;
	/* When the account is asked again nevertheless. */
	apr_time_t reask_at;
	/* Requests refused since the last ask. */
	unsigned refused;
	/* No account answered: this VM decides alone until then. */
	apr_time_t alone_until;
	/* Requests admitted alone, and the number of the window. */
	unsigned admitted_alone;
	int64_t alone_window;
};

/*
 * Decides on a new request. With PERMITS_REFUSE and PERMITS_UNKNOWN,
 * *retry_after is the time in microseconds after which to return. With
 * PERMITS_WAIT the request counts as waiting until permits_resume() decides
 * otherwise, or permits_cancel().
 */
enum permits_verdict permits_take(struct permits *permits,
				  const struct account_limits *limits,
				  const struct permits_env *env, apr_time_t now,
				  apr_interval_time_t *retry_after);

/* Decides again on a request that waits, in order of arrival. */
enum permits_verdict permits_resume(struct permits *permits,
				    const struct account_limits *limits,
				    const struct permits_env *env,
				    apr_time_t now,
				    apr_interval_time_t *retry_after);

/* Other VMs may keep the accounts from now on: none is skipped. */
void permits_note_accounts(struct permits *permits);

/* A request that waited has ended. */
void permits_cancel(struct permits *permits);

/*
 * A request that took a permit was not sent: another may use it while it is
 * valid.
 */
void permits_put_back(struct permits *permits, apr_time_t now);

/*
 * Whether a question is to be sent now, which then counts as sent: a new one,
 * a retransmission or one to the next account. To be called after
 * permits_take(), after permits_note_grant() and at permits_due_at(); then
 * permits_resume() for the requests that wait, until one waits further.
 */
bool permits_next_ask(struct permits *permits, apr_time_t now,
		      struct permits_ask *out);

/* When permits_next_ask() is due again; 0: not before another call. */
apr_time_t permits_due_at(const struct permits *permits);

/*
 * An answer has come; those to earlier questions are ignored. One that said
 * that the account asks others may be followed by another one with permits.
 */
void permits_note_grant(struct permits *permits,
			const struct permits_grant *grant, apr_time_t now);

#endif
