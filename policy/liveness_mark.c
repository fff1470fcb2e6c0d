#include "policy/liveness_mark.h"

#include <stdlib.h>

#define FIRST_CAPACITY 8

static struct mbr_mark *find_mark(const struct liveness_marks *set,
				  struct str id)
{
	for (size_t i = 0; i < set->count; i++) {
		if (str_eq(strbuf_str(&set->marks[i].id), id))
			return &set->marks[i];
	}
	return NULL;
}

static struct mbr_mark *add_mark(struct liveness_marks *set, struct str id)
{
	struct mbr_mark *mark;

	if (set->count == set->capacity) {
		const size_t more =
			set->capacity ? set->capacity * 2 : FIRST_CAPACITY;
		struct mbr_mark *grown =
			realloc(set->marks, more * sizeof(*grown));

		if (!grown)
			return NULL;
		set->marks = grown;
		set->capacity = more;
	}
	mark = &set->marks[set->count];
	*mark = (struct mbr_mark){.process_number = 0};
	if (strbuf_set(&mark->id, id))
		return NULL;
	set->count++;
	return mark;
}

static void note_change(struct liveness_marks *set, struct mbr_mark *mark,
			apr_time_t now)
{
	mark->version = ++set->version;
	mark->changed_at = now;
}

void liveness_marks_free(struct liveness_marks *set)
{
	free(set->marks);
	*set = (struct liveness_marks){.count = 0};
}

bool liveness_marks_note(struct liveness_marks *set, struct str id,
			 uint64_t client, bool leaving, apr_time_t now)
{
	struct mbr_mark *mark = find_mark(set, id);

	if (!mark && !leaving)
		return false;
	if (mark && !mark->leaving && !leaving)
		return false;
	/* A process never cancels its stop; only its successor is live. */
	if (mark && mark->leaving && mark->client == client)
		return false;
	if (!mark)
		mark = add_mark(set, id);
	if (!mark)
		return false;
	if (mark->client != client)
		mark->process_number++;
	mark->client = client;
	mark->leaving = leaving;
	mark->made_here = true;
	note_change(set, mark, now);
	return true;
}

static bool is_later(const struct mbr_mark *mark, const struct mbr_mark *held)
{
	if (mark->process_number != held->process_number)
		return mark->process_number > held->process_number;
	return mark->leaving && !held->leaving;
}

bool liveness_marks_merge(struct liveness_marks *set,
			  const struct mbr_mark *mark, apr_time_t now)
{
	struct mbr_mark *held = find_mark(set, strbuf_str(&mark->id));

	if (held ? !is_later(mark, held) : !mark->leaving)
		return false;
	if (!held)
		held = add_mark(set, strbuf_str(&mark->id));
	if (!held)
		return false;
	held->process_number = mark->process_number;
	held->client = mark->client;
	held->leaving = mark->leaving;
	held->made_here = false;
	note_change(set, held, now);
	return true;
}

bool liveness_marks_leaving(const struct liveness_marks *set, struct str id)
{
	const struct mbr_mark *mark = find_mark(set, id);

	return mark && mark->leaving;
}

void liveness_marks_expire(struct liveness_marks *set,
			   const struct vmlist *list, apr_interval_time_t keep,
			   apr_time_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < set->count; i++) {
		const struct mbr_mark *mark = &set->marks[i];
		const bool needed = mark->leaving &&
				    vmlist_find(list, strbuf_str(&mark->id));

		if (needed || now - mark->changed_at <= keep)
			set->marks[kept++] = *mark;
	}
	set->count = kept;
}
