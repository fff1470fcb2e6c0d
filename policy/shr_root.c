#include "policy/shr_root.h"

#include "common/err.h"
#include "policy/shr_claim.h"

void shr_root_init(struct shr_root *root, struct str domain, struct str self,
		   uint64_t incarnation, apr_interval_time_t loan,
		   apr_time_t now)
{
	*root = (struct shr_root){
		.incarnation = incarnation,
		.expiry_delay = shr_claim_reusable_at(0, loan),
		.last_step = now,
		.due_at = now,
	};
	strbuf_set(&root->domain, domain);
	strbuf_set(&root->self, self);
}

static void enter(struct shr_root *root, enum shr_phase state, apr_time_t due)
{
	root->state = state;
	root->due_at = due;
}

static bool names_self(const struct shr_root *root,
		       const struct shr_record *record)
{
	return record->present && record->incarnation == root->incarnation &&
	       strbuf_eq(&record->holder, &root->self);
}

static void stop_holding(struct shr_root *root, apr_time_t now)
{
	if (root->record.revision > root->barred_revision)
		root->barred_revision = root->record.revision;
	enter(root, SHR_IDLE, now);
}

static void check_pause(struct shr_root *root, apr_time_t now)
{
	const bool paused = now - root->last_step > SHR_PAUSE_MAX;

	root->last_step = now;
	if (!paused)
		return;
	root->stopped_since = 0;
	root->discard_result = root->awaiting_result;
	if (root->state == SHR_HOLDING)
		enter(root, SHR_SUSPENDED, now);
	else if (root->state == SHR_CLAIMING || root->state == SHR_ASKING)
		enter(root, SHR_READING, now);
}

static void check_view(struct shr_root *root, apr_time_t now,
		       const struct shr_view *view)
{
	const bool holds =
		root->state == SHR_HOLDING || root->state == SHR_SUSPENDED;

	if (holds && !view->listed)
		stop_holding(root, now);
	else if (!holds && (!view->candidate || !view->listed))
		enter(root, SHR_IDLE, now);
	else if (root->state == SHR_IDLE && view->candidate)
		enter(root, SHR_READING, now);
}

static enum shr_action action_of(const struct shr_root *root)
{
	switch (root->state) {
	case SHR_READING:
	case SHR_HOLDING:
	case SHR_SUSPENDED:
		return SHR_DO_READ;
	case SHR_ASKING:
		return SHR_DO_ASK;
	case SHR_CLAIMING:
		return SHR_DO_SWAP;
	case SHR_IDLE:
		break;
	}
	return SHR_DO_NOTHING;
}

enum shr_action shr_root_step(struct shr_root *root, apr_time_t now,
			      const struct shr_view *view)
{
	enum shr_action action;

	check_pause(root, now);
	check_view(root, now, view);
	root->holder_absent = view->holder_absent;
	if (root->awaiting_result || now < root->due_at)
		return SHR_DO_NOTHING;
	action = action_of(root);
	root->awaiting_result = action != SHR_DO_NOTHING;
	return action;
}

/* Ends the wait for a result; returns false when it must be ignored. */
static bool take_result(struct shr_root *root)
{
	const bool usable = !root->discard_result;

	root->awaiting_result = false;
	root->discard_result = false;
	return usable;
}

/* What this process lent under a barred record expires after expiry_delay. */
static void adopt(struct shr_root *root, apr_time_t now)
{
	if (root->record.revision > root->barred_revision)
		enter(root, SHR_HOLDING, now + SHR_CONFIRM_INTERVAL);
	else
		enter(root, SHR_CLAIMING, now + root->expiry_delay);
}

static void read_while_waiting(struct shr_root *root, apr_time_t now)
{
	root->stopped_since = 0;
	if (!root->record.present)
		enter(root, SHR_CLAIMING, now);
	else if (names_self(root, &root->record))
		adopt(root, now);
	else
		enter(root, SHR_ASKING, now);
}

static void read_while_named(struct shr_root *root, apr_time_t now,
			     uint64_t held_revision)
{
	if (names_self(root, &root->record) &&
	    root->record.revision == held_revision)
		adopt(root, now);
	else
		enter(root, SHR_IDLE, now);
}

void shr_root_on_read(struct shr_root *root, apr_time_t now, int err,
		      const struct shr_record *record)
{
	const uint64_t held_revision = root->record.revision;

	if (!take_result(root) || err) {
		root->due_at = now + SHR_RETRY_INTERVAL;
		return;
	}
	switch (root->state) {
	case SHR_READING:
		root->record = *record;
		read_while_waiting(root, now);
		break;
	case SHR_HOLDING:
	case SHR_SUSPENDED:
		root->record = *record;
		read_while_named(root, now, held_revision);
		break;
	case SHR_IDLE:
	case SHR_ASKING:
	case SHR_CLAIMING:
		break;
	}
}

static void on_holder_gone(struct shr_root *root, apr_time_t now)
{
	if (!root->stopped_since)
		root->stopped_since = now;
	if (now - root->stopped_since >= root->expiry_delay)
		enter(root, SHR_CLAIMING, now);
}

void shr_root_on_reply(struct shr_root *root, apr_time_t now,
		       enum shr_reply reply, apr_interval_time_t expiry_delay)
{
	if (!take_result(root) || root->state != SHR_ASKING)
		return;
	root->due_at = now + SHR_RETRY_INTERVAL;
	switch (reply) {
	case SHR_REPLY_HOLDS:
		root->stopped_since = 0;
		enter(root, SHR_READING, now + SHR_RETRY_INTERVAL);
		break;
	case SHR_REPLY_NOT_HELD:
		enter(root, SHR_CLAIMING,
		      now + expiry_delay + expiry_delay / SHR_DRIFT_DIVISOR);
		break;
	case SHR_REPLY_GONE:
		on_holder_gone(root, now);
		break;
	case SHR_REPLY_SILENT:
		if (root->holder_absent >= SHR_ABSENT_MIN)
			on_holder_gone(root, now);
		else
			root->stopped_since = 0;
		break;
	}
}

void shr_root_on_swap(struct shr_root *root, apr_time_t now, int err,
		      uint64_t revision)
{
	if (!take_result(root) || root->state != SHR_CLAIMING)
		return;
	if (err) {
		/* The swap may have succeeded: its reply may be lost. */
		enter(root, SHR_READING, now + SHR_RETRY_INTERVAL);
		return;
	}
	root->record = (struct shr_record){
		.present = true,
		.revision = revision,
		.holder = root->self,
		.incarnation = root->incarnation,
	};
	adopt(root, now);
}

bool shr_root_on_inquiry(struct shr_root *root, apr_time_t now,
			 uint64_t revision, const struct shr_view *view)
{
	const bool named =
		root->state == SHR_HOLDING || root->state == SHR_SUSPENDED;

	if (named && root->record.revision == revision && view->candidate &&
	    view->listed)
		return true;
	if (named && root->record.revision <= revision)
		stop_holding(root, now);
	if (revision > root->barred_revision)
		root->barred_revision = revision;
	return false;
}

bool shr_root_valid(const struct shr_root *root, apr_time_t now)
{
	return root->state == SHR_HOLDING &&
	       now - root->last_step <= SHR_PAUSE_MAX;
}

const char *shr_phase_name(enum shr_phase state)
{
	static const char *const names[] = {
		[SHR_IDLE] = "idle",	   [SHR_READING] = "reading",
		[SHR_ASKING] = "asking",   [SHR_CLAIMING] = "claiming",
		[SHR_HOLDING] = "holding", [SHR_SUSPENDED] = "suspended",
	};

	return names[state];
}
