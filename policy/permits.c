#include "policy/permits.h"

#include <math.h>
#include <string.h>

/* Time without an answer after which an ask is sent again. */
#define ASK_TIMEOUT_US 40000

/* Times that the account which is asked first is asked before the next one. */
#define FIRST_ATTEMPTS 2

/* Accounts that an ask goes to if permits.positions is not set. */
#define LEAST_POSITIONS 2

/*
 * Time for which the first account is skipped when it did not answer, doubled
 * each further time: asking one that is lost costs a request 80 ms.
 */
#define SKIP_FIRST_US	   1000000
#define SKIP_MAX_DOUBLINGS 3

/*
 * Time from the first sending of an ask to the expiry of its permits: a part of
 * LONGEST_USE_S, which the depth of the buckets allows for.
 */
#define PERMIT_LIFE_US 250000

/* Demand for which a VM holds permits, in seconds. */
#define STOCK_S 0.1

/* The same if several were refused since the last ask: fewer asks follow. */
#define REFUSED_STOCK_S 0.2

/* Rounds in which the account may ask others before a request is refused. */
#define PENDING_ROUNDS 3

/* Time for which a VM decides alone before it asks again. */
#define ALONE_US 100000

/* A VM asks again after that time, also if the account named a later one. */
#define MAX_REFUSED_US 1000000

/*
 * Part of the tolerance for requests admitted without any account, per window.
 * An interval of the length of a window meets two of them.
 */
#define ALONE_TOLERANCE 0.075

/* Time over which the demand of a VM is smoothed. */
#define DEMAND_TIME_US 1000000

static unsigned in_hand(struct permits *permits, apr_time_t now)
{
	unsigned left = 0;

	for (unsigned i = 0; i < 2; i++) {
		struct permits_batch *batch = &permits->batches[i];

		if (now >= batch->expires_at)
			memset(batch, 0, sizeof(*batch));
		left += batch->left;
	}
	return left;
}

/* Takes a permit of the batch that expires first. */
static bool take_permit(struct permits *permits, apr_time_t now)
{
	struct permits_batch *batch = &permits->batches[1];

	if (in_hand(permits, now) == 0)
		return false;
	if (batch->left == 0)
		batch = &permits->batches[0];
	batch->left--;
	batch->taken++;
	return true;
}

/* State that came about by another limit is dropped. */
static void check_limit(struct permits *permits,
			const struct account_limits *limits)
{
	if (permits->rate == limits->rate && permits->burst == limits->burst)
		return;
	permits->rate = limits->rate;
	permits->burst = limits->burst;
	memset(permits->batches, 0, sizeof(permits->batches));
	permits->attempts = 0;
	permits->late_due = false;
	permits->pending_until = 0;
	permits->pending_rounds = 0;
	permits->refused_until = 0;
	permits->reask_at = 0;
}

/* Requests that this VM alone may admit in a window. */
static unsigned alone_limit(const struct account_limits *limits,
			    const struct permits_env *env)
{
	const uint64_t total =
		(uint64_t)(ALONE_TOLERANCE * account_tolerance(limits));
	const uint64_t place = (env->index + env->tenant % env->vms) % env->vms;

	/* What does not divide evenly goes to as many VMs, one each. */
	return (unsigned)(total / env->vms) + (place < total % env->vms);
}

static enum permits_verdict decide_alone(struct permits *permits,
					 const struct account_limits *limits,
					 const struct permits_env *env,
					 apr_time_t now,
					 apr_interval_time_t *retry_after)
{
	const int64_t window = now / limits->window;

	if (permits->alone_window != window) {
		permits->alone_window = window;
		permits->admitted_alone = 0;
	}
	if (permits->admitted_alone < alone_limit(limits, env)) {
		permits->admitted_alone++;
		return PERMITS_SEND;
	}
	*retry_after = ALONE_US;
	return PERMITS_UNKNOWN;
}

/* Decides on a request for which there is no permit. */
static enum permits_verdict decide(struct permits *permits,
				   const struct account_limits *limits,
				   const struct permits_env *env,
				   apr_time_t now,
				   apr_interval_time_t *retry_after)
{
	if (take_permit(permits, now))
		return PERMITS_SEND;
	if (now < permits->alone_until)
		return decide_alone(permits, limits, env, now, retry_after);
	if (now < permits->reask_at) {
		*retry_after = permits->refused_until - now;
		permits->refused++;
		return PERMITS_REFUSE;
	}
	return PERMITS_WAIT;
}

enum permits_verdict permits_take(struct permits *permits,
				  const struct account_limits *limits,
				  const struct permits_env *env, apr_time_t now,
				  apr_interval_time_t *retry_after)
{
	enum permits_verdict verdict;

	check_limit(permits, limits);
	permits->per_s *=
		exp(-(double)(now - permits->counted_at) / DEMAND_TIME_US);
	permits->per_s += (double)APR_USEC_PER_SEC / DEMAND_TIME_US;
	permits->counted_at = now;
	verdict = decide(permits, limits, env, now, retry_after);
	if (verdict != PERMITS_WAIT)
		return verdict;
	if (permits->waiting >= PERMITS_MAX_WAITING) {
		*retry_after = ALONE_US;
		return PERMITS_UNKNOWN;
	}
	permits->waiting++;
	return PERMITS_WAIT;
}

enum permits_verdict permits_resume(struct permits *permits,
				    const struct account_limits *limits,
				    const struct permits_env *env,
				    apr_time_t now,
				    apr_interval_time_t *retry_after)
{
	enum permits_verdict verdict;

	check_limit(permits, limits);
	verdict = decide(permits, limits, env, now, retry_after);
	if (verdict != PERMITS_WAIT)
		permits_cancel(permits);
	return verdict;
}

void permits_note_accounts(struct permits *permits)
{
	permits->skip_first_until = 0;
	permits->skips = 0;
}

void permits_cancel(struct permits *permits)
{
	if (permits->waiting > 0)
		permits->waiting--;
}

void permits_put_back(struct permits *permits, apr_time_t now)
{
	struct permits_batch *batch = &permits->batches[1];

	in_hand(permits, now);
	/* It may be one of the older batch; that one expires earlier. */
	if (batch->taken == 0)
		batch = &permits->batches[0];
	if (batch->taken == 0)
		return;
	batch->taken--;
	batch->left++;
}

/* Permits to ask for; 0: none. */
static unsigned shortage(struct permits *permits, apr_time_t now)
{
	const double stock = permits->per_s *
			     (permits->refused > 1 ? REFUSED_STOCK_S : STOCK_S);
	const unsigned have = in_hand(permits, now);
	unsigned wanted = permits->waiting;

	if (stock > 1 && now - permits->counted_at < DEMAND_TIME_US)
		wanted += (unsigned)stock;
	if (permits->waiting == 0 && have > wanted / 2)
		return 0;
	return wanted > have ? wanted - have : 0;
}

static unsigned positions(const struct permits *permits)
{
	return permits->positions > LEAST_POSITIONS ? permits->positions
						    : LEAST_POSITIONS;
}

/* Goes on to the next account; returns whether there is one. */
static bool go_on(struct permits *permits)
{
	if (++permits->tried >= positions(permits))
		return false;
	permits->ask.to = (permits->ask.to + 1) % positions(permits);
	permits->attempts = 0;
	return true;
}

/* The accounts so far do not answer: asks begin with this one for a time. */
static void skip_others(struct permits *permits, apr_time_t now)
{
	permits->start_at = permits->ask.to;
	/* Once for an ask, however many are lost. */
	if (permits->tried > 1)
		return;
	permits->skip_first_until = now + (SKIP_FIRST_US << permits->skips);
	if (permits->skips < SKIP_MAX_DOUBLINGS)
		permits->skips++;
}

static void stop_asking(struct permits *permits, apr_time_t now)
{
	permits->attempts = 0;
	permits->moved_on = false;
	permits->alone_until = now + ALONE_US;
}

/* Starts an ask, unless the last answer says that there is no permit. */
static bool start_ask(struct permits *permits, apr_time_t now)
{
	const unsigned wanted = shortage(permits, now);

	if (wanted == 0 || now < permits->pending_until ||
	    now < permits->reask_at || now < permits->alone_until)
		return false;
	permits->ask.id = ++permits->next_id;
	permits->ask.wanted = wanted;
	permits->ask.to =
		now < permits->skip_first_until ? permits->start_at : 0;
	permits->tried = 0;
	permits->refused = 0;
	permits->late_due = false;
	permits->attempts = 1;
	permits->asked_at = now;
	permits->sent_at = now;
	return true;
}

bool permits_next_ask(struct permits *permits, apr_time_t now,
		      struct permits_ask *out)
{
	if (permits->attempts == 0) {
		if (!start_ask(permits, now))
			return false;
		*out = permits->ask;
		return true;
	}
	if (now - permits->sent_at < ASK_TIMEOUT_US)
		return false;
	if (permits->moved_on) {
		permits->moved_on = false;
	} else if (permits->tried > 0 || permits->attempts >= FIRST_ATTEMPTS) {
		if (!go_on(permits)) {
			stop_asking(permits, now);
			return false;
		}
		skip_others(permits, now);
	}
	permits->attempts++;
	permits->sent_at = now;
	*out = permits->ask;
	return true;
}

apr_time_t permits_due_at(const struct permits *permits)
{
	if (permits->attempts > 0)
		return permits->sent_at + ASK_TIMEOUT_US;
	if (permits->waiting > 0 && permits->pending_until > 0)
		return permits->pending_until;
	return 0;
}

/* The account has no more permits for now. */
static void note_empty(struct permits *permits,
		       const struct permits_grant *grant, apr_time_t now)
{
	permits->attempts = 0;
	permits->late_due = grant->pending;
	if (grant->pending && permits->pending_rounds < PENDING_ROUNDS) {
		permits->pending_rounds++;
		permits->pending_until = now + grant->retry_after;
		return;
	}
	permits->pending_rounds = 0;
	permits->refused_until = now + grant->retry_after;
	permits->reask_at = permits->refused_until;
	if (permits->reask_at > now + MAX_REFUSED_US)
		permits->reask_at = now + MAX_REFUSED_US;
}

/* The account does not know the tenant, or has no share of its limit yet. */
static void note_no_share(struct permits *permits, apr_time_t now)
{
	if (!go_on(permits)) {
		/* The first one may be back. */
		permits->skip_first_until = 0;
		stop_asking(permits, now);
		return;
	}
	/* The next account is asked without a further wait. */
	permits->moved_on = true;
	permits->attempts = 1;
	permits->sent_at = now - ASK_TIMEOUT_US;
}

static void add_permits(struct permits *permits, unsigned count, apr_time_t now)
{
	in_hand(permits, now);
	/* A third batch takes the place of the oldest one. */
	permits->batches[1] = permits->batches[0];
	permits->batches[0] = (struct permits_batch){
		.left = count,
		.expires_at = permits->asked_at + PERMIT_LIFE_US,
	};
}

/* Whether the grant follows an answer that the account asks others. */
static bool is_late_grant(const struct permits *permits,
			  const struct permits_grant *grant, apr_time_t now)
{
	return permits->late_due && grant->id == permits->ask.id &&
	       now < permits->asked_at + PERMIT_LIFE_US && grant->permits > 0 &&
	       grant->permits <= permits->ask.wanted && !grant->pending;
}

void permits_note_grant(struct permits *permits,
			const struct permits_grant *grant, apr_time_t now)
{
	if (is_late_grant(permits, grant, now)) {
		permits->late_due = false;
		permits->pending_until = 0;
		permits->pending_rounds = 0;
		/* Also if it counted as refused since. */
		permits->refused_until = 0;
		permits->reask_at = 0;
		add_permits(permits, grant->permits, now);
		return;
	}
	if (permits->attempts == 0 || grant->id != permits->ask.id ||
	    grant->permits > permits->ask.wanted)
		return;
	if (permits->ask.to == 0)
		permits->skips = 0;
	if (grant->retry_after > 0) {
		note_empty(permits, grant, now);
	} else if (grant->permits < permits->ask.wanted) {
		note_no_share(permits, now);
	} else {
		permits->attempts = 0;
		permits->pending_rounds = 0;
	}
	if (grant->permits > 0)
		add_permits(permits, grant->permits, now);
}
