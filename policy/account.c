#include "policy/account.h"

#include <math.h>
#include <string.h>

/* Time in seconds over which the demand is smoothed, and in requests. */
#define DEMAND_S	1.0
#define DEMAND_REQUESTS 1
#define MAX_DEMAND_S	30.0

/* Round trip between regions, with a margin; time to keep tokens for. */
#define PULL_ROUND_US 125000
#define RESERVE_S     0.25
/*
 * Parts of its depth below which an account pulls that has more demand than
 * refill, or a small refill in requests per second, and up to which: its own
 * refill needs room until the next request.
 */
#define SMALL_RATE   2
#define BORROW_BELOW 0.7
#define BORROW_UP_TO 0.8
/* Time in seconds in which tokens are used while a pull is in flight. */
#define PULL_USE_S 0.1
/*
 * A pull without an answer has failed; that account is skipped for a time. The
 * time-out and the life of a permit (PERMIT_LIFE_US) are the two parts of
 * LONGEST_USE_S, which the depth of the buckets allows for.
 */
#define PULL_TIMEOUT_US 250000
#define SKIP_PEER_US	1000000

/* Time between the beginnings of rounds, and the longest after a dry one. */
#define ROUND_INTERVAL_US 100000
#define MAX_DRY_WAIT_US	  1000000

/* Less is not worth a pull; a round that brings less of the depth is dry. */
#define LEAST_TOKENS 0.25
#define DRY_FRACTION 0.1

/*
 * An account with more demand than refill gives nothing below this part of its
 * depth: while all are in that state, moving tokens only costs messages.
 */
#define BUSY_LEAST 0.25

/* Tokens of an account without a share are dropped after that time. */
#define DROP_US 250000
/* Demand that is assumed of an account without any, in requests per second. */
#define LEAST_PER_S 0.01

/* A VM that is sent away returns at least that often, if the rate allows. */
#define MAX_PROMISE_US 1000000
/* Part of its refill that another account is taken to gain at least. */
#define LEAST_GROWTH 0.5

/*
 * The tenant is over its limit if an account has more demand than its refill
 * by the first factor, and those that it knows together gain less than its
 * refill times the second one. To save messages, VMs return for several
 * permits at a time then.
 */
#define EXCESS_DEMAND	1.2
#define LITTLE_GROWTH	3
#define PERMITS_PER_ASK 3

/* Accounts not remembered that are considered for a pull. */
#define RANDOM_PEERS 4

static double rate_of(const struct account *account,
		      const struct account_limits *limits)
{
	return limits->rate * account->share;
}

/* Tokens that the account may store. */
static double cap_of(const struct account *account,
		     const struct account_limits *limits)
{
	if (account->share > 0)
		return fmax(1, account_depth(limits) * account->share);
	return account->unmet + account->per_s * RESERVE_S;
}

static void refill(struct account *account, const struct account_limits *limits,
		   apr_time_t now)
{
	const apr_time_t rise_at = account->rise_at > account->barred_until
					   ? account->rise_at
					   : account->barred_until;

	if (account->share < account->place.share && now >= rise_at) {
		/* The time before is refilled by the share until then. */
		const apr_time_t from = account->refilled_at > rise_at
						? account->refilled_at
						: rise_at;

		account->tokens += rate_of(account, limits) *
				   (double)(from - account->refilled_at) /
				   APR_USEC_PER_SEC;
		account->share = account->place.share;
		account->refilled_at = from;
	}
	if (now > account->refilled_at) {
		account->tokens += rate_of(account, limits) *
				   (double)(now - account->refilled_at) /
				   APR_USEC_PER_SEC;
		account->refilled_at = now;
	}
	if (account->share <= 0 && now >= account->drop_at)
		account->tokens = 0;
	account->tokens = fmin(account->tokens, cap_of(account, limits));
}

void account_init(struct account *account, const struct account_limits *limits,
		  const struct account_place *place, apr_time_t since,
		  apr_time_t now)
{
	memset(account, 0, sizeof(*account));
	account->place = *place;
	account->rise_at = since + ACCOUNT_LIST_SPREAD_US;
	account->refilled_at = now < account->rise_at ? now : account->rise_at;
	refill(account, limits, now);
}

void account_resume(struct account *account, apr_time_t now)
{
	account->share = account->place.share;
	account->rise_at = now;
	account->refilled_at = now;
	account->tokens = 0;
}

void account_set_place(struct account *account,
		       const struct account_limits *limits,
		       const struct account_place *place, apr_time_t now)
{
	refill(account, limits, now);
	if (place->share > account->place.share)
		account->rise_at = now + ACCOUNT_LIST_SPREAD_US;
	if (account->share > place->share)
		account->share = place->share;
	if (place->accounts != account->place.accounts ||
	    place->self != account->place.self) {
		memset(account->peers, 0, sizeof(account->peers));
		memset(account->pulls, 0, sizeof(account->pulls));
	}
	/* Their VMs are numbered by the list before. */
	memset(&account->waiters, 0, sizeof(account->waiters));
	account->place = *place;
	account->tokens = fmin(account->tokens, cap_of(account, limits));
}

void account_bar(struct account *account, apr_time_t until, apr_time_t now)
{
	account->barred_until = until;
	if (until <= now || account->share <= 0)
		return;
	account->share = 0;
	account->tokens = 0;
	account->refilled_at = now;
}

void account_note_stall(struct account *account, apr_time_t now)
{
	account->share = 0;
	account->tokens = 0;
	account->refilled_at = now;
	account->rise_at = now + ACCOUNT_LIST_SPREAD_US;
	memset(account->pulls, 0, sizeof(account->pulls));
}

/* Time in seconds over which the demand is smoothed. */
static double demand_time(const struct account *account,
			  const struct account_limits *limits)
{
	return fmin(MAX_DEMAND_S,
		    fmax(DEMAND_S, DEMAND_REQUESTS * account->place.accounts /
					   limits->rate));
}

static void decay_demand(struct account *account,
			 const struct account_limits *limits, apr_time_t now)
{
	account->per_s *= exp(-(double)(now - account->asked_at) /
			      APR_USEC_PER_SEC / demand_time(account, limits));
	account->asked_at = now;
}

static bool pulls_in_flight(const struct account *account)
{
	for (unsigned i = 0; i < ACCOUNT_PULLS; i++) {
		if (account->pulls[i].at)
			return true;
	}
	return false;
}

static struct account_peer *find_peer(struct account *account, unsigned number)
{
	for (unsigned i = 0; i < ACCOUNT_PEERS; i++) {
		if (account->peers[i].number == number + 1)
			return &account->peers[i];
	}
	return NULL;
}

/* Remembers the last answer of an account, in place of the oldest one. */
static void note_peer(struct account *account, unsigned number, double left,
		      double per_s, apr_time_t at)
{
	struct account_peer *peer = find_peer(account, number);

	if (!peer) {
		peer = &account->peers[0];
		for (unsigned i = 1; i < ACCOUNT_PEERS; i++) {
			if (account->peers[i].at < peer->at)
				peer = &account->peers[i];
		}
	}
	peer->number = number + 1;
	peer->left = left;
	peer->per_s = per_s;
	peer->at = at;
}

/* Tokens that another account gains per second. */
static double growth(const struct account *account,
		     const struct account_limits *limits,
		     const struct account_peer *peer)
{
	return fmax(0, limits->rate / account->place.accounts - peer->per_s);
}

/* Tokens that another account may have by its last answer, if there is one. */
static double estimate(const struct account *account,
		       const struct account_limits *limits,
		       const struct account_peer *peer, apr_time_t now)
{
	const double rate = limits->rate / account->place.accounts;
	const double cap = account_depth(limits) / account->place.accounts;
	double per_s;

	if (!peer)
		return cap;
	if (peer->at > now)
		return 0;
	/* Its demand may have ended. */
	per_s = fmax(growth(account, limits, peer), LEAST_GROWTH * rate);
	return fmin(cap, peer->left + per_s * (double)(now - peer->at) /
					      APR_USEC_PER_SEC);
}

/* Whether all accounts are short, so that no pull helps. */
static bool is_exhausted(const struct account *account,
			 const struct account_limits *limits)
{
	const double rate = rate_of(account, limits);
	double gained = 0;

	if (!account->is_dry || rate < SMALL_RATE ||
	    account->per_s <= EXCESS_DEMAND * rate)
		return false;
	for (unsigned i = 0; i < ACCOUNT_PEERS; i++) {
		if (account->peers[i].number)
			gained += growth(account, limits, &account->peers[i]);
	}
	return gained < LITTLE_GROWTH * rate;
}

/* Whether the accounts may have a token for a request that waits. */
static bool may_have_one(const struct account *account,
			 const struct account_limits *limits, apr_time_t now)
{
	double tokens = account->tokens;
	unsigned known = 1;

	for (unsigned i = 0; i < ACCOUNT_PEERS; i++) {
		const struct account_peer *peer = &account->peers[i];

		if (!peer->number)
			continue;
		tokens += estimate(account, limits, peer, now);
		known++;
	}
	/* Accounts that are not known count by the last round's result. */
	return tokens >= 1 ||
	       (known < account->place.accounts && !account->is_dry);
}

/* Whether a round of pulls may end soon and bring a token. */
static bool may_pull(const struct account *account,
		     const struct account_limits *limits, apr_time_t now)
{
	if (account->place.accounts < 2)
		return false;
	if (pulls_in_flight(account))
		return true;
	return now + PULL_ROUND_US >= account->next_pull_at &&
	       may_have_one(account, limits, now);
}

/*
 * When a VM that got nothing is to return. Each gets a time of its own, so
 * that the tokens refilled by then suffice for all.
 */
static apr_interval_time_t promise(struct account *account,
				   const struct account_limits *limits,
				   apr_time_t now)
{
	const double rate = rate_of(account, limits);
	double token_us;
	double first_us;

	if (rate <= 0)
		return PULL_ROUND_US;
	token_us = APR_USEC_PER_SEC / rate;
	if (is_exhausted(account, limits))
		token_us *= PERMITS_PER_ASK;
	first_us = fmax(1, ceil((1 - account->tokens) * token_us));
	if (account->promised_until < now + (apr_time_t)first_us)
		account->promised_until = now + (apr_time_t)first_us;
	else
		account->promised_until += (apr_time_t)token_us;
	if (account->promised_until - now > fmax(MAX_PROMISE_US, first_us))
		account->promised_until =
			now + (apr_time_t)fmax(MAX_PROMISE_US, first_us);
	return account->promised_until - now;
}

void account_grant(struct account *account, const struct account_limits *limits,
		   unsigned wanted, apr_time_t now, struct account_answer *out)
{
	memset(out, 0, sizeof(*out));
	refill(account, limits, now);
	out->ask_next = account->share <= 0 && account->place.share > 0 &&
			account->place.region_accounts > 1 &&
			account->tokens < 1;
	if (out->ask_next)
		return;
	decay_demand(account, limits, now);
	account->per_s += wanted / demand_time(account, limits);
	out->permits =
		account->tokens < wanted ? (unsigned)account->tokens : wanted;
	account->tokens -= out->permits;
	account->unmet = wanted - out->permits;
	if (account->unmet == 0) {
		/* Spares the VM the next ask, which would get nothing. */
		if (account->tokens < 1 && is_exhausted(account, limits))
			out->retry_after = promise(account, limits, now);
		return;
	}
	out->pending = !is_exhausted(account, limits) &&
		       may_pull(account, limits, now);
	out->retry_after =
		out->pending ? PULL_ROUND_US : promise(account, limits, now);
}

bool account_next_waiter(struct account *account,
			 const struct account_limits *limits, apr_time_t now,
			 struct account_waiter *out)
{
	refill(account, limits, now);
	return account_waiters_serve(&account->waiters, &account->tokens, now,
				     out);
}

static void consider(const struct account *account,
		     const struct account_limits *limits, unsigned number,
		     const struct account_peer *peer, apr_time_t now,
		     double *best, unsigned *best_number)
{
	double tokens;

	if (number == account->place.self)
		return;
	for (unsigned i = 0; i < ACCOUNT_PULLS; i++) {
		if (account->pulls[i].at && account->pulls[i].to == number)
			return;
	}
	tokens = estimate(account, limits, peer, now);
	if (tokens > *best) {
		*best = tokens;
		*best_number = number;
	}
}

/* The account that seems to have most tokens; 0 if none has any. */
static double choose_peer(struct account *account,
			  const struct account_limits *limits, uint64_t random,
			  apr_time_t now, unsigned *number)
{
	double best = 0;

	for (unsigned i = 0; i < RANDOM_PEERS; i++) {
		const unsigned any = (unsigned)((random >> (16 * i) & 0xffff) %
						account->place.accounts);

		consider(account, limits, any, find_peer(account, any), now,
			 &best, number);
	}
	for (unsigned i = 0; i < ACCOUNT_PEERS; i++) {
		const struct account_peer *peer = &account->peers[i];

		if (peer->number > 0 && peer->number <= account->place.accounts)
			consider(account, limits, peer->number - 1, peer, now,
				 &best, number);
	}
	return best;
}

/* Time until the accounts gain a token. */
static apr_interval_time_t dry_wait(const struct account *account,
				    const struct account_limits *limits)
{
	double tokens = account->tokens;
	double per_s = fmax(0, rate_of(account, limits) - account->per_s);

	for (unsigned i = 0; i < ACCOUNT_PEERS; i++) {
		if (!account->peers[i].number)
			continue;
		per_s += growth(account, limits, &account->peers[i]);
		tokens += account->peers[i].left;
	}
	tokens = fmax(0, 1 - tokens);
	if (tokens * APR_USEC_PER_SEC >= per_s * MAX_DRY_WAIT_US)
		return MAX_DRY_WAIT_US;
	return (apr_interval_time_t)(APR_USEC_PER_SEC * tokens / per_s);
}

static void end_round(struct account *account,
		      const struct account_limits *limits, apr_time_t now)
{
	account->next_pull_at = account->round_at + ROUND_INTERVAL_US;
	account->is_dry =
		account->round_got <
		fmax(LEAST_TOKENS, DRY_FRACTION * cap_of(account, limits));
	account->round_got = 0;
	if (account->is_dry) {
		const apr_time_t at = now + dry_wait(account, limits);

		if (at > account->next_pull_at)
			account->next_pull_at = at;
	}
}

static void end_late_pulls(struct account *account,
			   const struct account_limits *limits, apr_time_t now)
{
	bool ended = false;

	for (unsigned i = 0; i < ACCOUNT_PULLS; i++) {
		struct account_sent_pull *pull = &account->pulls[i];

		if (!pull->at || now - pull->at < PULL_TIMEOUT_US)
			continue;
		note_peer(account, pull->to, 0, 0, now + SKIP_PEER_US);
		pull->at = 0;
		ended = true;
	}
	if (ended && !pulls_in_flight(account))
		end_round(account, limits, now);
}

/* Tokens that the account should pull now; 0: none. */
static double shortage(const struct account *account,
		       const struct account_limits *limits)
{
	const double cap = cap_of(account, limits);
	const double more = account->per_s - rate_of(account, limits);
	double low = fmin(cap / 2, account->per_s * RESERVE_S + 1);

	/* The others' tokens are used before they exceed their depth. */
	if ((more > 0 || rate_of(account, limits) < SMALL_RATE) &&
	    account->share > 0)
		low = fmax(low, BORROW_BELOW * cap);
	if (account->tokens >= low + account->unmet)
		return 0;
	/* Without a share, what is not used soon is lost. */
	if (account->share <= 0)
		return fmax(0, account->unmet +
				       floor(account->per_s * RESERVE_S) -
				       account->tokens);
	return BORROW_UP_TO * cap - account->tokens +
	       fmax(0, more) * PULL_USE_S;
}

bool account_next_pull(struct account *account,
		       const struct account_limits *limits, uint64_t random,
		       apr_time_t now, struct account_pull *out)
{
	struct account_sent_pull *slot = NULL;
	double wanted;
	unsigned to = 0;

	end_late_pulls(account, limits, now);
	if (account->place.accounts < 2 || now < account->next_pull_at)
		return false;
	refill(account, limits, now);
	decay_demand(account, limits, now);
	if (!pulls_in_flight(account)) {
		account->pulls_left = account->is_dry ? 1 : ACCOUNT_PULLS;
		account->round_at = now;
	}
	if (account->pulls_left == 0)
		return false;
	wanted = shortage(account, limits);
	if (wanted < LEAST_TOKENS)
		return false;
	if (choose_peer(account, limits, random, now, &to) < LEAST_TOKENS) {
		if (!pulls_in_flight(account))
			end_round(account, limits, now);
		return false;
	}
	for (unsigned i = 0; i < ACCOUNT_PULLS; i++) {
		if (!account->pulls[i].at)
			slot = &account->pulls[i];
	}
	if (!slot)
		return false;
	account->pulls_left--;
	slot->id = ++account->next_id;
	slot->to = to;
	slot->at = now;
	out->id = slot->id;
	out->to = to;
	out->wanted =
		account->place.accounts > 2 ? wanted / ACCOUNT_PULLS : wanted;
	out->tokens = account->tokens;
	out->per_s = account->per_s;
	out->unmet = account->unmet;
	return true;
}

/* Tokens that an account keeps from requests that wait elsewhere. */
static double needed(double per_s)
{
	return fmin(1, per_s * RESERVE_S);
}

void account_answer_pull(struct account *account,
			 const struct account_limits *limits,
			 const struct account_pull *pull, apr_time_t now,
			 struct account_give *out)
{
	double here;
	double there;
	double give;

	refill(account, limits, now);
	decay_demand(account, limits, now);
	/* Afterwards the tokens of both last for the same time. */
	here = account->per_s + LEAST_PER_S;
	there = fmax(0, pull->per_s) + LEAST_PER_S;
	give = (account->tokens * there - fmax(0, pull->tokens) * here) /
	       (here + there);
	/* What this account needs less urgently is given as well. */
	give = fmax(give, fmin(pull->unmet - pull->tokens,
			       account->tokens - needed(account->per_s)));
	give = fmin(fmin(give, pull->wanted), account->tokens);
	if (account->per_s > rate_of(account, limits) &&
	    rate_of(account, limits) >= SMALL_RATE &&
	    account->tokens < BUSY_LEAST * cap_of(account, limits))
		give = 0;
	if (!(give >= LEAST_TOKENS))
		give = 0;
	account->tokens -= give;
	out->id = pull->id;
	out->tokens = give;
	out->left = account->tokens;
	out->per_s = account->per_s;
}

void account_note_give(struct account *account,
		       const struct account_limits *limits,
		       const struct account_give *give, apr_time_t now)
{
	struct account_sent_pull *pull = NULL;
	double left;

	end_late_pulls(account, limits, now);
	for (unsigned i = 0; i < ACCOUNT_PULLS; i++) {
		if (account->pulls[i].at && account->pulls[i].id == give->id)
			pull = &account->pulls[i];
	}
	if (!pull || !(give->tokens >= 0) || !(give->left >= 0) ||
	    !(give->per_s >= 0))
		return;
	refill(account, limits, now);
	/* An account that gives nothing needs itself what it has. */
	left = give->tokens > 0 ? give->left - needed(give->per_s) : 0;
	note_peer(account, pull->to, fmax(0, left), give->per_s, now);
	pull->at = 0;
	account->drop_at = now + DROP_US;
	account->tokens =
		fmin(account->tokens + give->tokens, cap_of(account, limits));
	account->round_got += give->tokens;
	if (!pulls_in_flight(account))
		end_round(account, limits, now);
}
