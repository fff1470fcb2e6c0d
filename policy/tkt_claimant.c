#include "policy/tkt_claimant.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/tkt_records.h"

/* Share of the allowed time spent on the claim; the rest is for the seal. */
#define CLAIM_SHARE_NUM 3
#define CLAIM_SHARE_DEN 4

struct tkt_claimant {
	struct tkt_claimant_conf conf;
	struct tkt_records *recs;
};

static void act(struct tkt_claimant *c, const struct tkt_action *action)
{
	c->conf.act(c->conf.ctx, action);
}

static void answer(struct tkt_claimant *c, const struct tkt_rec *rec,
		   enum tkt_verdict verdict, int reason)
{
	act(c, &(struct tkt_action){
		       .kind = TKT_ACT_ANSWER,
		       .key = &rec->key,
		       .attempt = rec->attempt,
		       .answer =
			       {
				       .request_id = rec->request_id,
				       .verdict = verdict,
				       .reason = reason,
			       },
	       });
}

static void arbitrate(struct tkt_claimant *c, struct tkt_rec *rec,
		      enum tkt_op_kind op, apr_time_t now)
{
	rec->resend_at =
		now + (rec->key.kind == TKT_KEY_OWN ? c->conf.resend_store
						    : c->conf.resend);
	rec->unconfirmed_ops++;
	act(c, &(struct tkt_action){
		       .kind = TKT_ACT_ARBITRATE,
		       .key = &rec->key,
		       .attempt = rec->attempt,
		       .op = op,
	       });
}

static void ask(struct tkt_claimant *c, const struct tkt_rec *rec,
		struct tkt_owner whom)
{
	act(c, &(struct tkt_action){
		       .kind = TKT_ACT_ASK,
		       .key = &rec->key,
		       .attempt = rec->attempt,
		       .ask = whom,
	       });
}

static bool is_self(const struct tkt_claimant *c, uint64_t vm,
		    uint64_t incarnation)
{
	return vm == c->conf.vm && incarnation == c->conf.incarnation;
}

static void end_record(struct tkt_claimant *c, struct tkt_rec *rec,
		       enum tkt_state state, apr_time_t now)
{
	rec->state = state;
	rec->forget_at = now + c->conf.retain;
	tkt_records_move(c->recs, rec, TKT_PHASE_ENDED);
}

static bool is_pending(const struct tkt_rec *rec)
{
	return rec->phase == TKT_PHASE_PENDING;
}

/*
 * For proven cases only: the key is sealed, or the attempt that owns it did
 * not run it and never will.
 */
static void conclude_not_run(struct tkt_claimant *c, struct tkt_rec *rec,
			     int reason, apr_time_t now)
{
	end_record(c, rec, TKT_ST_NOT_RUN, now);
	answer(c, rec, TKT_NOT_RUN, reason);
}

/*
 * If a claim or seal may have taken effect, this process must never run the
 * key.
 */
static void conclude_unknown(struct tkt_claimant *c, struct tkt_rec *rec,
			     int reason, apr_time_t now)
{
	const bool bound = rec->state == TKT_ST_SEALING || rec->unconfirmed_ops;

	end_record(c, rec, bound ? TKT_ST_UNCONFIRMED : TKT_ST_UNCLAIMED, now);
	answer(c, rec, TKT_UNKNOWN, reason);
}

/*
 * Seals a ticket that this process knows was not run, so that its witness can
 * tell other processes. Doesn't wait for the confirmation.
 */
static void publish_not_run(struct tkt_claimant *c, struct tkt_rec *rec,
			    apr_time_t now)
{
	if (rec->key.kind == TKT_KEY_TICKET)
		arbitrate(c, rec, TKT_OP_SEAL, now);
}

static void ask_home(struct tkt_claimant *c, const struct tkt_rec *rec)
{
	const struct tkt_id *id = &rec->key.id;

	ask(c, rec,
	    (struct tkt_owner){
		    .vm = id->home,
		    .incarnation = id->home_incarnation,
	    });
}

static bool has_other_home(const struct tkt_claimant *c,
			   const struct tkt_rec *rec)
{
	return rec->key.kind == TKT_KEY_TICKET &&
	       !is_self(c, rec->key.id.home, rec->key.id.home_incarnation);
}

static void start_claim(struct tkt_claimant *c, struct tkt_rec *rec,
			apr_time_t now)
{
	rec->unconfirmed_ops = 0;
	rec->state = TKT_ST_CLAIMING;
	arbitrate(c, rec, TKT_OP_CLAIM, now);
}

/* From this call on this process never runs the key. */
static void start_seal(struct tkt_claimant *c, struct tkt_rec *rec,
		       apr_time_t now)
{
	rec->state = TKT_ST_SEALING;
	arbitrate(c, rec, TKT_OP_SEAL, now);
	if (has_other_home(c, rec))
		ask_home(c, rec);
}

static void set_deadlines(struct tkt_claimant *c, struct tkt_rec *rec,
			  apr_time_t deadline, apr_time_t now)
{
	const apr_time_t latest = now + c->conf.give_up;

	rec->deadline = deadline;
	rec->give_up_at = deadline < latest ? deadline : latest;
	rec->seal_at = now + (rec->give_up_at - now) * CLAIM_SHARE_NUM /
				     CLAIM_SHARE_DEN;
	rec->reason = rec->key.kind == TKT_KEY_OWN ? PST_ERR_TKT_STORE_DOWN
						   : PST_ERR_TKT_WITNESS_SILENT;
}

/* Admits a key that has a record: most requests are answered at once. */
static void admit_known_key(struct tkt_claimant *c, struct tkt_rec *rec,
			    uint64_t request_id, apr_time_t deadline,
			    apr_time_t now)
{
	const struct tkt_rec asked = {
		.key = rec->key,
		.attempt = rec->attempt,
		.request_id = request_id,
	};

	switch (rec->state) {
	case TKT_ST_CLAIMING:
	case TKT_ST_SEALING:
	case TKT_ST_ASKING:
	case TKT_ST_RUNNING:
		answer(c, &asked, TKT_UNKNOWN, PST_ERR_TKT_IN_PROGRESS);
		return;
	case TKT_ST_RAN:
		answer(c, &asked, TKT_UNKNOWN, PST_ERR_TKT_RAN);
		return;
	case TKT_ST_OUTCOME_UNKNOWN:
		answer(c, &asked, TKT_UNKNOWN, PST_ERR_TKT_OUTCOME_LOST);
		return;
	case TKT_ST_NOT_RUN:
		answer(c, &asked, TKT_NOT_RUN, PST_ERR_TKT_SEALED);
		return;
	case TKT_ST_UNCONFIRMED:
	case TKT_ST_UNCLAIMED:
		break;
	}
	tkt_records_move(c->recs, rec, TKT_PHASE_PENDING);
	rec->request_id = request_id;
	set_deadlines(c, rec, deadline, now);
	if (rec->state == TKT_ST_UNCONFIRMED) {
		start_seal(c, rec, now);
		return;
	}
	tkt_records_new_attempt(c->recs, rec);
	start_claim(c, rec, now);
}

static void on_granted(struct tkt_claimant *c, struct tkt_rec *rec,
		       apr_time_t now)
{
	if (rec->state == TKT_ST_CLAIMING && now < rec->deadline) {
		rec->state = TKT_ST_RUNNING;
		tkt_records_move(c->recs, rec, TKT_PHASE_RUNNING);
		answer(c, rec, TKT_RUN, PST_OK);
		return;
	}
	conclude_not_run(c, rec, PST_ERR_TKT_LATE, now);
	publish_not_run(c, rec, now);
}

static void on_owned_by_other(struct tkt_claimant *c, struct tkt_rec *rec,
			      const struct tkt_owner *owner, apr_time_t now)
{
	rec->reason = PST_ERR_TKT_OWNED;
	rec->unconfirmed_ops = 0;
	if (is_self(c, owner->vm, owner->incarnation)) {
		conclude_unknown(c, rec, rec->reason, now);
		return;
	}
	rec->state = TKT_ST_ASKING;
	ask(c, rec, *owner);
}

/*
 * Nothing is ever granted for the key again, but its home may know whether it
 * was run.
 */
static void on_records_lost(struct tkt_claimant *c, struct tkt_rec *rec,
			    apr_time_t now)
{
	rec->reason = PST_ERR_TKT_WITNESS_LOST;
	if (!has_other_home(c, rec)) {
		conclude_unknown(c, rec, rec->reason, now);
		return;
	}
	rec->state = TKT_ST_ASKING;
	ask_home(c, rec);
}

/* Handles a ruling on an attempt whose request was answered before. */
static void on_late_ruling(struct tkt_claimant *c, struct tkt_rec *rec,
			   const struct tkt_ruling *ruling, apr_time_t now)
{
	if (rec->state != TKT_ST_UNCONFIRMED)
		return;
	if (ruling->grant == TKT_GRANT_SEALED)
		rec->state = TKT_ST_NOT_RUN;
	if (ruling->grant != TKT_GRANT_YOURS)
		return;
	rec->state = TKT_ST_NOT_RUN;
	publish_not_run(c, rec, now);
}

static int outcome_reason(enum tkt_outcome outcome, int otherwise)
{
	switch (outcome) {
	case TKT_OUTCOME_IN_PROGRESS:
		return PST_ERR_TKT_IN_PROGRESS;
	case TKT_OUTCOME_RAN:
		return PST_ERR_TKT_RAN;
	case TKT_OUTCOME_UNKNOWN:
		return PST_ERR_TKT_OUTCOME_LOST;
	case TKT_OUTCOME_NOT_RUN:
	case TKT_OUTCOME_NO_RECORD:
		break;
	}
	return otherwise;
}

static void tick_pending(struct tkt_claimant *c, struct tkt_rec *rec,
			 apr_time_t now)
{
	if (now >= rec->give_up_at) {
		conclude_unknown(c, rec, rec->reason, now);
		return;
	}
	if (rec->state == TKT_ST_CLAIMING && now >= rec->seal_at) {
		start_seal(c, rec, now);
		return;
	}
	if (rec->state == TKT_ST_ASKING || now < rec->resend_at)
		return;
	arbitrate(c, rec,
		  rec->state == TKT_ST_CLAIMING ? TKT_OP_CLAIM : TKT_OP_SEAL,
		  now);
}

int tkt_claimant_create(struct tkt_claimant **out,
			const struct tkt_claimant_conf *conf)
{
	struct tkt_claimant *c = calloc(1, sizeof(*c));

	if (!c)
		return PST_ERR_NOMEM;
	c->conf = *conf;
	if (tkt_records_create(&c->recs, conf->capacity)) {
		free(c);
		return PST_ERR_NOMEM;
	}
	*out = c;
	return 0;
}

void tkt_claimant_destroy(struct tkt_claimant *c)
{
	if (!c)
		return;
	tkt_records_destroy(c->recs);
	free(c);
}

int tkt_claimant_admit(struct tkt_claimant *c, uint64_t request_id,
		       const struct tkt_key *key, apr_time_t deadline,
		       apr_time_t now)
{
	struct tkt_rec *rec = tkt_records_find(c->recs, key);
	int err;

	if (rec) {
		admit_known_key(c, rec, request_id, deadline, now);
		return 0;
	}
	err = tkt_records_add(c->recs, key, &rec);
	if (err)
		return err;
	rec->request_id = request_id;
	set_deadlines(c, rec, deadline, now);
	start_claim(c, rec, now);
	return 0;
}

void tkt_claimant_ruling(struct tkt_claimant *c, uint64_t attempt,
			 const struct tkt_ruling *ruling, apr_time_t now)
{
	struct tkt_rec *rec = tkt_records_by_attempt(c->recs, attempt);

	if (!rec)
		return;
	if (rec->state != TKT_ST_CLAIMING && rec->state != TKT_ST_SEALING) {
		on_late_ruling(c, rec, ruling, now);
		return;
	}
	switch (ruling->grant) {
	case TKT_GRANT_YOURS:
		on_granted(c, rec, now);
		return;
	case TKT_GRANT_SEALED:
		conclude_not_run(c, rec, PST_ERR_TKT_SEALED, now);
		return;
	case TKT_GRANT_OTHER:
		on_owned_by_other(c, rec, &ruling->owner, now);
		return;
	case TKT_GRANT_LOST:
		on_records_lost(c, rec, now);
		return;
	case TKT_GRANT_UNAVAILABLE:
		if (rec->unconfirmed_ops)
			rec->unconfirmed_ops--;
		conclude_unknown(c, rec, ruling->reason, now);
		return;
	case TKT_GRANT_NO_REPLY:
		return;
	}
}

void tkt_claimant_outcome(struct tkt_claimant *c, uint64_t attempt,
			  enum tkt_outcome outcome, bool no_reply,
			  apr_time_t now)
{
	struct tkt_rec *rec = tkt_records_by_attempt(c->recs, attempt);
	const int reason = rec ? outcome_reason(outcome, rec->reason) : 0;

	if (!rec || !is_pending(rec) || rec->state == TKT_ST_CLAIMING)
		return;
	if (outcome == TKT_OUTCOME_NOT_RUN && !no_reply) {
		conclude_not_run(c, rec, PST_ERR_TKT_ENDED_NOT_RUN, now);
		return;
	}
	/* The witness may still confirm the seal. */
	if (rec->state == TKT_ST_SEALING &&
	    (no_reply || outcome == TKT_OUTCOME_NO_RECORD))
		return;
	conclude_unknown(c, rec, no_reply ? rec->reason : reason, now);
}

void tkt_claimant_end(struct tkt_claimant *c, const struct tkt_key *key,
		      enum tkt_end end, apr_time_t now)
{
	struct tkt_rec *rec = tkt_records_find(c->recs, key);

	if (!rec || rec->state != TKT_ST_RUNNING)
		return;
	switch (end) {
	case TKT_END_RAN:
		end_record(c, rec, TKT_ST_RAN, now);
		return;
	case TKT_END_UNKNOWN:
		end_record(c, rec, TKT_ST_OUTCOME_UNKNOWN, now);
		return;
	case TKT_END_NOT_RUN:
		end_record(c, rec, TKT_ST_NOT_RUN, now);
		publish_not_run(c, rec, now);
		return;
	}
}

void tkt_claimant_tick(struct tkt_claimant *c, apr_time_t now)
{
	struct tkt_rec *rec = tkt_records_first(c->recs, TKT_PHASE_PENDING);

	while (rec) {
		struct tkt_rec *next = rec->next;

		tick_pending(c, rec, now);
		rec = next;
	}
	rec = tkt_records_first(c->recs, TKT_PHASE_ENDED);
	while (rec && rec->forget_at <= now) {
		tkt_records_remove(c->recs, rec);
		rec = tkt_records_first(c->recs, TKT_PHASE_ENDED);
	}
}

void tkt_claimant_reseal(struct tkt_claimant *c, apr_time_t now)
{
	struct tkt_rec *rec = tkt_records_first(c->recs, TKT_PHASE_ENDED);

	for (; rec; rec = rec->next) {
		if (rec->state == TKT_ST_UNCONFIRMED)
			publish_not_run(c, rec, now);
	}
}

enum tkt_outcome tkt_claimant_query(struct tkt_claimant *c,
				    const struct tkt_key *key, uint64_t attempt)
{
	const struct tkt_rec *rec = tkt_records_find(c->recs, key);

	if (!rec)
		return TKT_OUTCOME_NO_RECORD;
	switch (rec->state) {
	case TKT_ST_CLAIMING:
	case TKT_ST_RUNNING:
		return TKT_OUTCOME_IN_PROGRESS;
	case TKT_ST_RAN:
		return TKT_OUTCOME_RAN;
	case TKT_ST_OUTCOME_UNKNOWN:
		return TKT_OUTCOME_UNKNOWN;
	case TKT_ST_NOT_RUN:
		return TKT_OUTCOME_NOT_RUN;
	case TKT_ST_SEALING:
	case TKT_ST_UNCONFIRMED:
		/* The attempt that the arbiter named as owner never runs. */
		if (attempt == rec->attempt)
			return TKT_OUTCOME_NOT_RUN;
		return TKT_OUTCOME_NO_RECORD;
	case TKT_ST_ASKING:
	case TKT_ST_UNCLAIMED:
		break;
	}
	return TKT_OUTCOME_NO_RECORD;
}

size_t tkt_claimant_bytes(size_t tickets)
{
	return tickets * (sizeof(struct tkt_rec) + sizeof(struct tkt_rec *));
}

struct tkt_claimant_stats tkt_claimant_stats(const struct tkt_claimant *c)
{
	const struct tkt_rec *rec = tkt_records_first(c->recs, TKT_PHASE_ENDED);
	struct tkt_claimant_stats stats = {
		.pending = tkt_records_count(c->recs, TKT_PHASE_PENDING),
	};

	for (; rec; rec = rec->next)
		stats.unconfirmed_records += rec->state == TKT_ST_UNCONFIRMED;
	for (int phase = 0; phase < TKT_PHASE_COUNT; phase++)
		stats.records +=
			tkt_records_count(c->recs, (enum tkt_phase)phase);
	return stats;
}
