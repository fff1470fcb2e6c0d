#include "policy/lsd.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

struct gone {
	struct strbuf id;
	uint64_t revision;
};

struct lsd {
	struct vmlist *list;
	/* By VM of the list: revision at which its present state was seen. */
	uint64_t *changed_at;
	/* Ring of removed VMs: the oldest entry is overwritten. */
	struct gone gone[LSD_MAX_GONE];
	size_t gone_count;
	/* All VMs removed after this revision are in the ring. */
	uint64_t gone_since;
	/* Ring of the latest revisions held. */
	uint64_t held[LSD_MAX_HELD];
	size_t held_count;
	/*
	 * Times of the first and the last older list that was read since a list
	 * that was not older.
	 */
	apr_time_t older_since;
	apr_time_t older_at;
};

static void record_removed(struct lsd *lsd, const struct strbuf *id,
			   uint64_t revision)
{
	struct gone *gone = &lsd->gone[lsd->gone_count % LSD_MAX_GONE];

	if (lsd->gone_count >= LSD_MAX_GONE)
		lsd->gone_since = gone->revision;
	gone->id = *id;
	gone->revision = revision;
	lsd->gone_count++;
}

static void record_all_removed(struct lsd *lsd, const struct vmlist *next)
{
	for (size_t i = 0; i < lsd->list->count; i++) {
		const struct vm *vm = &lsd->list->vms[i];

		if (!vmlist_find(next, strbuf_str(&vm->id)))
			record_removed(lsd, &vm->id, next->revision);
	}
}

static uint64_t changed_at_of(const struct lsd *lsd, const struct vm *vm,
			      uint64_t revision)
{
	const struct vm *old =
		lsd->list ? vmlist_find(lsd->list, strbuf_str(&vm->id)) : NULL;

	if (!old || !vm_equal(old, vm))
		return revision;
	return lsd->changed_at[old - lsd->list->vms];
}

static bool was_held(const struct lsd *lsd, uint64_t revision)
{
	for (size_t i = 0; i < LSD_MAX_HELD; i++) {
		if (lsd->held[i] == revision)
			return true;
	}
	return false;
}

static size_t gone_kept(const struct lsd *lsd)
{
	return lsd->gone_count < LSD_MAX_GONE ? lsd->gone_count : LSD_MAX_GONE;
}

/* A removed VM that is on the list again is left out. */
static void add_gone(const struct lsd *lsd, uint64_t after,
		     struct lsd_delta *out)
{
	for (size_t i = 0; i < gone_kept(lsd); i++) {
		const struct gone *gone = &lsd->gone[i];

		if (gone->revision > after &&
		    !vmlist_find(lsd->list, strbuf_str(&gone->id)))
			out->gone[out->gone_count++] = strbuf_str(&gone->id);
	}
}

static bool delta_has(const struct lsd_delta *delta, const struct vm *vm)
{
	for (size_t i = 0; i < delta->vm_count; i++) {
		if (strbuf_eq(&delta->vms[i]->id, &vm->id))
			return true;
	}
	for (size_t i = 0; i < delta->gone_count; i++) {
		if (str_eq(delta->gone[i], strbuf_str(&vm->id)))
			return true;
	}
	return false;
}

int lsd_create(struct lsd **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : PST_ERR_NOMEM;
}

void lsd_destroy(struct lsd *lsd)
{
	if (!lsd)
		return;
	vmlist_put(lsd->list);
	free(lsd->changed_at);
	free(lsd);
}

struct vmlist *lsd_list(const struct lsd *lsd)
{
	return lsd->list;
}

bool lsd_take(struct lsd *lsd, struct vmlist *list)
{
	uint64_t *changed_at;

	if (lsd->list && list->revision <= lsd->list->revision) {
		vmlist_put(list);
		return false;
	}
	changed_at = calloc(list->count + 1, sizeof(*changed_at));
	if (!changed_at) {
		vmlist_put(list);
		return false;
	}
	for (size_t i = 0; i < list->count; i++)
		changed_at[i] =
			changed_at_of(lsd, &list->vms[i], list->revision);
	if (lsd->list)
		record_all_removed(lsd, list);
	else
		lsd->gone_since = list->revision;
	vmlist_put(lsd->list);
	free(lsd->changed_at);
	lsd->list = list;
	lsd->changed_at = changed_at;
	lsd->held[lsd->held_count++ % LSD_MAX_HELD] = list->revision;
	return true;
}

static uint64_t restore_count(const struct lsd *lsd)
{
	return lsd->list ? lsd->list->revision >> LSD_RESTORE_SHIFT : 0;
}

static bool has_entry_vm(const struct vmlist *list)
{
	for (size_t i = 0; i < list->count; i++) {
		if (list->vms[i].kind == VM_ENTRY)
			return true;
	}
	return false;
}

/* Decides whether an older list is kept now. */
static enum lsd_read classify_older(struct lsd *lsd, apr_time_t now)
{
	const bool first =
		!lsd->older_at || now - lsd->older_at > LSD_RESTORE_SETTLE / 3;

	lsd->older_at = now;
	if (first) {
		lsd->older_since = now;
		return LSD_READ_OLDER;
	}
	return now - lsd->older_since < LSD_RESTORE_SETTLE ? LSD_READ_WAITING
							   : LSD_READ_RESTORED;
}

enum lsd_read lsd_read(struct lsd *lsd, struct vmlist *list, apr_time_t now)
{
	const uint64_t revision_mask = ((uint64_t)1 << LSD_RESTORE_SHIFT) - 1;
	const uint64_t held =
		lsd->list ? lsd->list->revision & revision_mask : 0;
	uint64_t restores = restore_count(lsd);
	enum lsd_read result = LSD_READ_NEWER;

	if (list->revision > revision_mask) {
		vmlist_put(list);
		return LSD_READ_SAME;
	}
	if (list->revision < held) {
		result = classify_older(lsd, now);
		if (result == LSD_READ_RESTORED && !has_entry_vm(list))
			result = LSD_READ_WAITING;
		if (result != LSD_READ_RESTORED) {
			vmlist_put(list);
			return result;
		}
		restores++;
	}
	lsd->older_at = 0;
	list->revision |= restores << LSD_RESTORE_SHIFT;
	return lsd_take(lsd, list) ? result : LSD_READ_SAME;
}

int lsd_since(const struct lsd *lsd, uint64_t revision, struct lsd_delta *out)
{
	memset(out, 0, sizeof(*out));
	if (!lsd->list || revision >= lsd->list->revision)
		return PST_ERR_AGAIN;
	if (revision < lsd->gone_since || !was_held(lsd, revision))
		revision = 0;
	out->vms = calloc(lsd->list->count + 1, sizeof(struct vm *));
	out->gone = calloc(gone_kept(lsd) + 1, sizeof(*out->gone));
	if (!out->vms || !out->gone) {
		lsd_delta_free(out);
		return PST_ERR_NOMEM;
	}
	out->previous = revision;
	out->revision = lsd->list->revision;
	for (size_t i = 0; i < lsd->list->count; i++) {
		if (lsd->changed_at[i] > revision)
			out->vms[out->vm_count++] = &lsd->list->vms[i];
	}
	if (revision)
		add_gone(lsd, revision, out);
	return 0;
}

void lsd_delta_free(struct lsd_delta *delta)
{
	free(delta->vms);
	free(delta->gone);
	memset(delta, 0, sizeof(*delta));
}

int lsd_patch(const struct lsd *lsd, const struct lsd_delta *delta,
	      struct vmlist **out)
{
	const struct vmlist *old = delta->previous ? lsd->list : NULL;
	const uint64_t held = lsd->list ? lsd->list->revision : 0;
	const size_t most = (old ? old->count : 0) + delta->vm_count;
	size_t count = 0;
	int err;

	if (held < delta->previous || held >= delta->revision)
		return PST_ERR_STALE;
	err = vmlist_create(out, most);
	if (err)
		return err;
	for (size_t i = 0; old && i < old->count; i++) {
		if (!delta_has(delta, &old->vms[i]))
			(*out)->vms[count++] = old->vms[i];
	}
	for (size_t i = 0; i < delta->vm_count; i++)
		(*out)->vms[count++] = *delta->vms[i];
	(*out)->count = count;
	vmlist_sort(*out);
	(*out)->revision = delta->revision;
	return 0;
}
