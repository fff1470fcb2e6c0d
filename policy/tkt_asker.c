#include "policy/tkt_asker.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/tkt_recs.h"

/* Part of the time allowed that is spent on the claim, then comes the seal. */
#define CLAIM_SHARE_NUM 3
#define CLAIM_SHARE_DEN 4

struct tkt_asker {
	struct tkt_asker_conf conf;
	struct tkt_recs *recs;
};

static void act(struct tkt_asker *a, const struct tkt_action *action)
{
	a->conf.act(a->conf.ctx, action);
}

static void answer(struct tkt_asker *a, const struct tkt_rec *rec,
		   enum tkt_verdict verdict, int reason)
{
	act(a, &(struct tkt_action){
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

static void arbitrate(struct tkt_asker *a, struct tkt_rec *rec,
		      enum tkt_op_kind op, apr_time_t now)
{
	rec->resend_at =
		now + (rec->key.kind == TKT_KEY_OWN ? a->conf.resend_store
						    : a->conf.resend);
	rec->open++;
	act(a, &(struct tkt_action){
		       .kind = TKT_ACT_ARBITRATE,
		       .key = &rec->key,
		       .attempt = rec->attempt,
		       .op = op,
	       });
}

static void ask(struct tkt_asker *a, const struct tkt_rec *rec,
		struct tkt_owner whom)
{
	act(a, &(struct tkt_action){
		       .kind = TKT_ACT_ASK,
		       .key = &rec->key,
		       .attempt = rec->attempt,
		       .ask = whom,
	       });
}

static bool is_self(const struct tkt_asker *a, uint64_t vm,
		    uint64_t incarnation)
{
	return vm == a->conf.vm && incarnation == a->conf.incarnation;
}

static void finish(struct tkt_asker *a, struct tkt_rec *rec,
		   enum tkt_state state, apr_time_t now)
{
	rec->state = state;
	rec->forget_at = now + a->conf.retain;
	tkt_recs_move(a->recs, rec, TKT_PHASE_ENDED);
}

static bool is_pending(const struct tkt_rec *rec)
{
	return rec->phase == TKT_PHASE_PENDING;
}

/* With proof: the key is sealed, or this process owns it and won't run it. */
static void conclude_not_run(struct tkt_asker *a, struct tkt_rec *rec,
			     int reason, apr_time_t now)
{
	finish(a, rec, TKT_ST_NOT_RUN, now);
	answer(a, rec, TKT_NOT_RUN, reason);
}

/* A claim or seal that may have taken effect binds this process. */
static void conclude_unknown(struct tkt_asker *a, struct tkt_rec *rec,
			     int reason, apr_time_t now)
{
	const bool bound = rec->state == TKT_ST_SEALING || rec->open;

	finish(a, rec, bound ? TKT_ST_DOUBT : TKT_ST_FOREIGN, now);
	answer(a, rec, TKT_UNKNOWN, reason);
}

/* Lets the witness tell others what this process knows; unconfirmed. */
static void publish_not_run(struct tkt_asker *a, struct tkt_rec *rec,
			    apr_time_t now)
{
	if (rec->key.kind == TKT_KEY_TICKET)
		arbitrate(a, rec, TKT_OP_SEAL, now);
}

static void ask_home(struct tkt_asker *a, const struct tkt_rec *rec)
{
	const struct tkt_id *id = &rec->key.id;

	ask(a, rec,
	    (struct tkt_owner){
		    .vm = id->home,
		    .incarnation = id->home_incarnation,
	    });
}

static bool has_other_home(const struct tkt_asker *a, const struct tkt_rec *rec)
{
	return rec->key.kind == TKT_KEY_TICKET &&
	       !is_self(a, rec->key.id.home, rec->key.id.home_incarnation);
}

static void start_claim(struct tkt_asker *a, struct tkt_rec *rec,
			apr_time_t now)
{
	rec->open = 0;
	rec->state = TKT_ST_CLAIMING;
	arbitrate(a, rec, TKT_OP_CLAIM, now);
}

/* From here on this process never runs the key. */
static void start_seal(struct tkt_asker *a, struct tkt_rec *rec, apr_time_t now)
{
	rec->state = TKT_ST_SEALING;
	arbitrate(a, rec, TKT_OP_SEAL, now);
	if (has_other_home(a, rec))
		ask_home(a, rec);
}

static void set_times(struct tkt_asker *a, struct tkt_rec *rec,
		      apr_time_t deadline, apr_time_t now)
{
	const apr_time_t latest = now + a->conf.give_up;

	rec->deadline = deadline;
	rec->give_up_at = deadline < latest ? deadline : latest;
	rec->seal_at = now + (rec->give_up_at - now) * CLAIM_SHARE_NUM /
				     CLAIM_SHARE_DEN;
	rec->reason = rec->key.kind == TKT_KEY_OWN ? PST_ERR_TKT_STORE_DOWN
						   : PST_ERR_TKT_WITNESS_SILENT;
}

/* A key that is known here: most requests get their answer at once. */
static void admit_again(struct tkt_asker *a, struct tkt_rec *rec,
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
		answer(a, &asked, TKT_UNKNOWN, PST_ERR_TKT_IN_PROGRESS);
		return;
	case TKT_ST_RAN:
		answer(a, &asked, TKT_UNKNOWN, PST_ERR_TKT_RAN);
		return;
	case TKT_ST_SENT:
		answer(a, &asked, TKT_UNKNOWN, PST_ERR_TKT_OUTCOME_LOST);
		return;
	case TKT_ST_NOT_RUN:
		answer(a, &asked, TKT_NOT_RUN, PST_ERR_TKT_SEALED);
		return;
	case TKT_ST_DOUBT:
	case TKT_ST_FOREIGN:
		break;
	}
	tkt_recs_move(a->recs, rec, TKT_PHASE_PENDING);
	rec->request_id = request_id;
	set_times(a, rec, deadline, now);
	if (rec->state == TKT_ST_DOUBT) {
		start_seal(a, rec, now);
		return;
	}
	tkt_recs_renew(a->recs, rec);
	start_claim(a, rec, now);
}

static void granted(struct tkt_asker *a, struct tkt_rec *rec, apr_time_t now)
{
	if (rec->state == TKT_ST_CLAIMING && now < rec->deadline) {
		rec->state = TKT_ST_RUNNING;
		tkt_recs_move(a->recs, rec, TKT_PHASE_RUNNING);
		answer(a, rec, TKT_RUN, PST_OK);
		return;
	}
	conclude_not_run(a, rec, PST_ERR_TKT_LATE, now);
	publish_not_run(a, rec, now);
}

static void owned_by_other(struct tkt_asker *a, struct tkt_rec *rec,
			   const struct tkt_owner *owner, apr_time_t now)
{
	rec->reason = PST_ERR_TKT_OWNED;
	rec->open = 0;
	if (is_self(a, owner->vm, owner->incarnation)) {
		conclude_unknown(a, rec, rec->reason, now);
		return;
	}
	rec->state = TKT_ST_ASKING;
	ask(a, rec, *owner);
}

/* Nothing is ever granted for the key again; its home may know the past. */
static void records_lost(struct tkt_asker *a, struct tkt_rec *rec,
			 apr_time_t now)
{
	rec->reason = PST_ERR_TKT_WITNESS_LOST;
	if (!has_other_home(a, rec)) {
		conclude_unknown(a, rec, rec->reason, now);
		return;
	}
	rec->state = TKT_ST_ASKING;
	ask_home(a, rec);
}

/* Word on an attempt whose request has been answered already. */
static void ruled_late(struct tkt_asker *a, struct tkt_rec *rec,
		       const struct tkt_ruling *ruling, apr_time_t now)
{
	if (rec->state != TKT_ST_DOUBT)
		return;
	if (ruling->grant == TKT_GRANT_SEALED)
		rec->state = TKT_ST_NOT_RUN;
	if (ruling->grant != TKT_GRANT_YOURS)
		return;
	rec->state = TKT_ST_NOT_RUN;
	publish_not_run(a, rec, now);
}

static int reason_for_outcome(enum tkt_outcome outcome, int otherwise)
{
	switch (outcome) {
	case TKT_OUTCOME_IN_PROGRESS:
		return PST_ERR_TKT_IN_PROGRESS;
	case TKT_OUTCOME_RAN:
		return PST_ERR_TKT_RAN;
	case TKT_OUTCOME_DOUBT:
		return PST_ERR_TKT_OUTCOME_LOST;
	case TKT_OUTCOME_NOT_RUN:
	case TKT_OUTCOME_UNSEEN:
		break;
	}
	return otherwise;
}

static void tick_pending(struct tkt_asker *a, struct tkt_rec *rec,
			 apr_time_t now)
{
	if (now >= rec->give_up_at) {
		conclude_unknown(a, rec, rec->reason, now);
		return;
	}
	if (rec->state == TKT_ST_CLAIMING && now >= rec->seal_at) {
		start_seal(a, rec, now);
		return;
	}
	if (rec->state == TKT_ST_ASKING || now < rec->resend_at)
		return;
	arbitrate(a, rec,
		  rec->state == TKT_ST_CLAIMING ? TKT_OP_CLAIM : TKT_OP_SEAL,
		  now);
}

int tkt_asker_create(struct tkt_asker **out, const struct tkt_asker_conf *conf)
{
	struct tkt_asker *a = calloc(1, sizeof(*a));

	if (!a)
		return PST_ERR_NOMEM;
	a->conf = *conf;
	if (tkt_recs_create(&a->recs, conf->capacity)) {
		free(a);
		return PST_ERR_NOMEM;
	}
	*out = a;
	return 0;
}

void tkt_asker_destroy(struct tkt_asker *a)
{
	if (!a)
		return;
	tkt_recs_destroy(a->recs);
	free(a);
}

int tkt_asker_admit(struct tkt_asker *a, uint64_t request_id,
		    const struct tkt_key *key, apr_time_t deadline,
		    apr_time_t now)
{
	struct tkt_rec *rec = tkt_recs_find(a->recs, key);
	int err;

	if (rec) {
		admit_again(a, rec, request_id, deadline, now);
		return 0;
	}
	err = tkt_recs_add(a->recs, key, &rec);
	if (err)
		return err;
	rec->request_id = request_id;
	set_times(a, rec, deadline, now);
	start_claim(a, rec, now);
	return 0;
}

void tkt_asker_ruling(struct tkt_asker *a, uint64_t attempt,
		      const struct tkt_ruling *ruling, apr_time_t now)
{
	struct tkt_rec *rec = tkt_recs_by_attempt(a->recs, attempt);

	if (!rec)
		return;
	if (rec->state != TKT_ST_CLAIMING && rec->state != TKT_ST_SEALING) {
		ruled_late(a, rec, ruling, now);
		return;
	}
	switch (ruling->grant) {
	case TKT_GRANT_YOURS:
		granted(a, rec, now);
		return;
	case TKT_GRANT_SEALED:
		conclude_not_run(a, rec, PST_ERR_TKT_SEALED, now);
		return;
	case TKT_GRANT_OTHER:
		owned_by_other(a, rec, &ruling->owner, now);
		return;
	case TKT_GRANT_LOST:
		records_lost(a, rec, now);
		return;
	case TKT_GRANT_DOWN:
		if (rec->open)
			rec->open--;
		conclude_unknown(a, rec, ruling->reason, now);
		return;
	case TKT_GRANT_SILENT:
		return;
	}
}

void tkt_asker_outcome(struct tkt_asker *a, uint64_t attempt,
		       enum tkt_outcome outcome, bool silent, apr_time_t now)
{
	struct tkt_rec *rec = tkt_recs_by_attempt(a->recs, attempt);
	const int reason = rec ? reason_for_outcome(outcome, rec->reason) : 0;

	if (!rec || !is_pending(rec) || rec->state == TKT_ST_CLAIMING)
		return;
	if (outcome == TKT_OUTCOME_NOT_RUN && !silent) {
		conclude_not_run(a, rec, PST_ERR_TKT_ENDED_NOT_RUN, now);
		return;
	}
	/* The witness may still confirm the seal. */
	if (rec->state == TKT_ST_SEALING &&
	    (silent || outcome == TKT_OUTCOME_UNSEEN))
		return;
	conclude_unknown(a, rec, silent ? rec->reason : reason, now);
}

void tkt_asker_end(struct tkt_asker *a, const struct tkt_key *key,
		   enum tkt_end end, apr_time_t now)
{
	struct tkt_rec *rec = tkt_recs_find(a->recs, key);

	if (!rec || rec->state != TKT_ST_RUNNING)
		return;
	switch (end) {
	case TKT_END_RAN:
		finish(a, rec, TKT_ST_RAN, now);
		return;
	case TKT_END_UNKNOWN:
		finish(a, rec, TKT_ST_SENT, now);
		return;
	case TKT_END_NOT_RUN:
		finish(a, rec, TKT_ST_NOT_RUN, now);
		publish_not_run(a, rec, now);
		return;
	}
}

void tkt_asker_tick(struct tkt_asker *a, apr_time_t now)
{
	struct tkt_rec *rec = tkt_recs_first(a->recs, TKT_PHASE_PENDING);

	while (rec) {
		struct tkt_rec *next = rec->next;

		tick_pending(a, rec, now);
		rec = next;
	}
	rec = tkt_recs_first(a->recs, TKT_PHASE_ENDED);
	while (rec && rec->forget_at <= now) {
		tkt_recs_drop(a->recs, rec);
		rec = tkt_recs_first(a->recs, TKT_PHASE_ENDED);
	}
}

void tkt_asker_reseal(struct tkt_asker *a, apr_time_t now)
{
	struct tkt_rec *rec = tkt_recs_first(a->recs, TKT_PHASE_ENDED);

	for (; rec; rec = rec->next) {
		if (rec->state == TKT_ST_DOUBT)
			publish_not_run(a, rec, now);
	}
}

enum tkt_outcome tkt_asker_query(struct tkt_asker *a, const struct tkt_key *key,
				 uint64_t attempt)
{
	const struct tkt_rec *rec = tkt_recs_find(a->recs, key);

	if (!rec)
		return TKT_OUTCOME_UNSEEN;
	switch (rec->state) {
	case TKT_ST_CLAIMING:
	case TKT_ST_RUNNING:
		return TKT_OUTCOME_IN_PROGRESS;
	case TKT_ST_RAN:
		return TKT_OUTCOME_RAN;
	case TKT_ST_SENT:
		return TKT_OUTCOME_DOUBT;
	case TKT_ST_NOT_RUN:
		return TKT_OUTCOME_NOT_RUN;
	case TKT_ST_SEALING:
	case TKT_ST_DOUBT:
		/* The key's owner, by the arbiter's word, and never runs it. */
		if (attempt == rec->attempt)
			return TKT_OUTCOME_NOT_RUN;
		return TKT_OUTCOME_UNSEEN;
	case TKT_ST_ASKING:
	case TKT_ST_FOREIGN:
		break;
	}
	return TKT_OUTCOME_UNSEEN;
}

size_t tkt_asker_bytes(size_t tickets)
{
	return tickets * (sizeof(struct tkt_rec) + sizeof(struct tkt_rec *));
}

struct tkt_asker_stats tkt_asker_stats(const struct tkt_asker *a)
{
	const struct tkt_rec *rec = tkt_recs_first(a->recs, TKT_PHASE_ENDED);
	struct tkt_asker_stats stats = {
		.pending = tkt_recs_count(a->recs, TKT_PHASE_PENDING),
	};

	for (; rec; rec = rec->next)
		stats.doubts += rec->state == TKT_ST_DOUBT;
	for (int phase = 0; phase < TKT_PHASE_COUNT; phase++)
		stats.records += tkt_recs_count(a->recs, (enum tkt_phase)phase);
	return stats;
}
