#include "policy/lending_root.h"

#include "common/err.h"
#include "policy/lending_claim.h"

void lending_root_init(struct lending_root *root, struct str domain,
		       struct str self, uint64_t incarnation,
		       apr_interval_time_t loan, apr_time_t now)
{
	*root = (struct lending_root){
		.incarnation = incarnation,
		.expiry_delay = lending_claim_reusable_at(0, loan),
		.last_step = now,
		.due_at = now,
	};
	strbuf_set(&root->domain, domain);
	strbuf_set(&root->self, self);
}

static void enter(struct lending_root *root, enum lending_phase state,
		  apr_time_t due)
{
	root->state = state;
	root->due_at = due;
}

static bool names_self(const struct lending_root *root,
		       const struct lending_record *record)
{
	return record->present && record->incarnation == root->incarnation &&
	       strbuf_eq(&record->holder, &root->self);
}

static void stop_holding(struct lending_root *root, apr_time_t now)
{
	if (root->record.revision > root->barred_revision)
		root->barred_revision = root->record.revision;
	enter(root, LENDING_IDLE, now);
}

static void check_pause(struct lending_root *root, apr_time_t now)
{
	const bool paused = now - root->last_step > LENDING_PAUSE_MAX;

	root->last_step = now;
	if (!paused)
		return;
	root->stopped_since = 0;
	root->discard_result = root->awaiting_result;
	if (root->state == LENDING_HOLDING)
		enter(root, LENDING_SUSPENDED, now);
	else if (root->state == LENDING_CLAIMING ||
		 root->state == LENDING_ASKING)
		enter(root, LENDING_READING, now);
}

static void check_view(struct lending_root *root, apr_time_t now,
		       const struct lending_view *view)
{
	const bool holds = root->state == LENDING_HOLDING ||
			   root->state == LENDING_SUSPENDED;

	if (holds && !view->listed)
		stop_holding(root, now);
	else if (!holds && (!view->candidate || !view->listed))
		enter(root, LENDING_IDLE, now);
	else if (root->state == LENDING_IDLE && view->candidate)
		enter(root, LENDING_READING, now);
}

static enum lending_action action_of(const struct lending_root *root)
{
	switch (root->state) {
	case LENDING_READING:
	case LENDING_HOLDING:
	case LENDING_SUSPENDED:
		return LENDING_DO_READ;
	case LENDING_ASKING:
		return LENDING_DO_ASK;
	case LENDING_CLAIMING:
		return LENDING_DO_SWAP;
	case LENDING_IDLE:
		break;
	}
	return LENDING_DO_NOTHING;
}

enum lending_action lending_root_step(struct lending_root *root, apr_time_t now,
				      const struct lending_view *view)
{
	enum lending_action action;

	check_pause(root, now);
	check_view(root, now, view);
	root->holder_absent = view->holder_absent;
	if (root->awaiting_result || now < root->due_at)
		return LENDING_DO_NOTHING;
	action = action_of(root);
	root->awaiting_result = action != LENDING_DO_NOTHING;
	return action;
}

/* Ends the wait for a result; returns false when it must be ignored. */
static bool take_result(struct lending_root *root)
{
	const bool usable = !root->discard_result;

	root->awaiting_result = false;
	root->discard_result = false;
	return usable;
}

/* What this process lent under a barred record expires after expiry_delay. */
static void adopt(struct lending_root *root, apr_time_t now)
{
	if (root->record.revision > root->barred_revision)
		enter(root, LENDING_HOLDING, now + LENDING_CONFIRM_INTERVAL);
	else
		enter(root, LENDING_CLAIMING, now + root->expiry_delay);
}

static void read_while_waiting(struct lending_root *root, apr_time_t now)
{
	root->stopped_since = 0;
	if (!root->record.present)
		enter(root, LENDING_CLAIMING, now);
	else if (names_self(root, &root->record))
		adopt(root, now);
	else
		enter(root, LENDING_ASKING, now);
}

static void read_while_named(struct lending_root *root, apr_time_t now,
			     uint64_t held_revision)
{
	if (names_self(root, &root->record) &&
	    root->record.revision == held_revision)
		adopt(root, now);
	else
		enter(root, LENDING_IDLE, now);
}

void lending_root_on_read(struct lending_root *root, apr_time_t now, int err,
			  const struct lending_record *record)
{
	const uint64_t held_revision = root->record.revision;

	if (!take_result(root) || err) {
		root->due_at = now + LENDING_RETRY_INTERVAL;
		return;
	}
	switch (root->state) {
	case LENDING_READING:
		root->record = *record;
		read_while_waiting(root, now);
		break;
	case LENDING_HOLDING:
	case LENDING_SUSPENDED:
		root->record = *record;
		read_while_named(root, now, held_revision);
		break;
	case LENDING_IDLE:
	case LENDING_ASKING:
	case LENDING_CLAIMING:
		break;
	}
}

static void on_holder_gone(struct lending_root *root, apr_time_t now)
{
	if (!root->stopped_since)
		root->stopped_since = now;
	if (now - root->stopped_since >= root->expiry_delay)
		enter(root, LENDING_CLAIMING, now);
}

void lending_root_on_reply(struct lending_root *root, apr_time_t now,
			   enum lending_reply reply,
			   apr_interval_time_t expiry_delay)
{
	if (!take_result(root) || root->state != LENDING_ASKING)
		return;
	root->due_at = now + LENDING_RETRY_INTERVAL;
	switch (reply) {
	case LENDING_REPLY_HOLDS:
		root->stopped_since = 0;
		enter(root, LENDING_READING, now + LENDING_RETRY_INTERVAL);
		break;
	case LENDING_REPLY_NOT_HELD:
		enter(root, LENDING_CLAIMING,
		      now + expiry_delay +
			      expiry_delay / LENDING_DRIFT_DIVISOR);
		break;
	case LENDING_REPLY_GONE:
		on_holder_gone(root, now);
		break;
	case LENDING_REPLY_SILENT:
		if (root->holder_absent >= LENDING_ABSENT_MIN)
			on_holder_gone(root, now);
		else
			root->stopped_since = 0;
		break;
	}
}

void lending_root_on_swap(struct lending_root *root, apr_time_t now, int err,
			  uint64_t revision)
{
	if (!take_result(root) || root->state != LENDING_CLAIMING)
		return;
	if (err) {
		/* The swap may have succeeded: its reply may be lost. */
		enter(root, LENDING_READING, now + LENDING_RETRY_INTERVAL);
		return;
	}
	root->record = (struct lending_record){
		.present = true,
		.revision = revision,
		.holder = root->self,
		.incarnation = root->incarnation,
	};
	adopt(root, now);
}

bool lending_root_on_inquiry(struct lending_root *root, apr_time_t now,
			     uint64_t revision, const struct lending_view *view)
{
	const bool named = root->state == LENDING_HOLDING ||
			   root->state == LENDING_SUSPENDED;

	if (named && root->record.revision == revision && view->candidate &&
	    view->listed)
		return true;
	if (named && root->record.revision <= revision)
		stop_holding(root, now);
	if (revision > root->barred_revision)
		root->barred_revision = revision;
	return false;
}

bool lending_root_valid(const struct lending_root *root, apr_time_t now)
{
	return root->state == LENDING_HOLDING &&
	       now - root->last_step <= LENDING_PAUSE_MAX;
}

const char *lending_phase_name(enum lending_phase state)
{
	static const char *const names[] = {
		[LENDING_IDLE] = "idle",
		[LENDING_READING] = "reading",
		[LENDING_ASKING] = "asking",
		[LENDING_CLAIMING] = "claiming",
		[LENDING_HOLDING] = "holding",
		[LENDING_SUSPENDED] = "suspended",
	};

	return names[state];
}
