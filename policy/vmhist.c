#include "policy/vmhist.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

struct gone {
	struct strbuf id;
	uint64_t revision;
};

struct vmhist {
	struct vmlist *list;
	/* By VM of the list: revision at which its present state was seen. */
	uint64_t *changed_at;
	/* Ring of removed VMs: the oldest entry is overwritten. */
	struct gone gone[VMHIST_MAX_GONE];
	size_t gone_count;
	/* All VMs removed after this revision are in the ring. */
	uint64_t gone_since;
	/* Ring of the latest revisions held. */
	uint64_t held[VMHIST_MAX_HELD];
	size_t held_count;
	/*
	 * Times of the first and the last older list that was read since a list
	 * that was not older.
	 */
	apr_time_t older_since;
	apr_time_t older_at;
};

static void record_removed(struct vmhist *vmhist, const struct strbuf *id,
			   uint64_t revision)
{
	struct gone *gone = &vmhist->gone[vmhist->gone_count % VMHIST_MAX_GONE];

	if (vmhist->gone_count >= VMHIST_MAX_GONE)
		vmhist->gone_since = gone->revision;
	gone->id = *id;
	gone->revision = revision;
	vmhist->gone_count++;
}

static void record_all_removed(struct vmhist *vmhist, const struct vmlist *next)
{
	for (size_t i = 0; i < vmhist->list->count; i++) {
		const struct vm *vm = &vmhist->list->vms[i];

		if (!vmlist_find(next, strbuf_str(&vm->id)))
			record_removed(vmhist, &vm->id, next->revision);
	}
}

static uint64_t changed_at_of(const struct vmhist *vmhist, const struct vm *vm,
			      uint64_t revision)
{
	const struct vm *old =
		vmhist->list ? vmlist_find(vmhist->list, strbuf_str(&vm->id))
			     : NULL;

	if (!old || !vm_equal(old, vm))
		return revision;
	return vmhist->changed_at[old - vmhist->list->vms];
}

static bool was_held(const struct vmhist *vmhist, uint64_t revision)
{
	for (size_t i = 0; i < VMHIST_MAX_HELD; i++) {
		if (vmhist->held[i] == revision)
			return true;
	}
	return false;
}

static size_t gone_kept(const struct vmhist *vmhist)
{
	return vmhist->gone_count < VMHIST_MAX_GONE ? vmhist->gone_count
						    : VMHIST_MAX_GONE;
}

/* A removed VM that is on the list again is left out. */
static void add_gone(const struct vmhist *vmhist, uint64_t after,
		     struct vmhist_delta *out)
{
	for (size_t i = 0; i < gone_kept(vmhist); i++) {
		const struct gone *gone = &vmhist->gone[i];

		if (gone->revision > after &&
		    !vmlist_find(vmhist->list, strbuf_str(&gone->id)))
			out->gone[out->gone_count++] = strbuf_str(&gone->id);
	}
}

static bool delta_has(const struct vmhist_delta *delta, const struct vm *vm)
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

int vmhist_create(struct vmhist **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : PST_ERR_NOMEM;
}

void vmhist_destroy(struct vmhist *vmhist)
{
	if (!vmhist)
		return;
	vmlist_put(vmhist->list);
	free(vmhist->changed_at);
	free(vmhist);
}

struct vmlist *vmhist_list(const struct vmhist *vmhist)
{
	return vmhist->list;
}

bool vmhist_take(struct vmhist *vmhist, struct vmlist *list)
{
	uint64_t *changed_at;

	if (vmhist->list && list->revision <= vmhist->list->revision) {
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
			changed_at_of(vmhist, &list->vms[i], list->revision);
	if (vmhist->list)
		record_all_removed(vmhist, list);
	else
		vmhist->gone_since = list->revision;
	vmlist_put(vmhist->list);
	free(vmhist->changed_at);
	vmhist->list = list;
	vmhist->changed_at = changed_at;
	vmhist->held[vmhist->held_count++ % VMHIST_MAX_HELD] = list->revision;
	return true;
}

static uint64_t restore_count(const struct vmhist *vmhist)
{
	return vmhist->list ? vmhist->list->revision >> VMHIST_RESTORE_SHIFT
			    : 0;
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
static enum vmhist_read classify_older(struct vmhist *vmhist, apr_time_t now)
{
	const bool first = !vmhist->older_at ||
			   now - vmhist->older_at > VMHIST_RESTORE_SETTLE / 3;

	vmhist->older_at = now;
	if (first) {
		vmhist->older_since = now;
		return VMHIST_READ_OLDER;
	}
	return now - vmhist->older_since < VMHIST_RESTORE_SETTLE
		       ? VMHIST_READ_WAITING
		       : VMHIST_READ_RESTORED;
}

enum vmhist_read vmhist_read(struct vmhist *vmhist, struct vmlist *list,
			     apr_time_t now)
{
	const uint64_t revision_mask =
		((uint64_t)1 << VMHIST_RESTORE_SHIFT) - 1;
	const uint64_t held =
		vmhist->list ? vmhist->list->revision & revision_mask : 0;
	uint64_t restores = restore_count(vmhist);
	enum vmhist_read result = VMHIST_READ_NEWER;

	if (list->revision > revision_mask) {
		vmlist_put(list);
		return VMHIST_READ_SAME;
	}
	if (list->revision < held) {
		result = classify_older(vmhist, now);
		if (result == VMHIST_READ_RESTORED && !has_entry_vm(list))
			result = VMHIST_READ_WAITING;
		if (result != VMHIST_READ_RESTORED) {
			vmlist_put(list);
			return result;
		}
		restores++;
	}
	vmhist->older_at = 0;
	list->revision |= restores << VMHIST_RESTORE_SHIFT;
	return vmhist_take(vmhist, list) ? result : VMHIST_READ_SAME;
}

int vmhist_since(const struct vmhist *vmhist, uint64_t revision,
		 struct vmhist_delta *out)
{
	memset(out, 0, sizeof(*out));
	if (!vmhist->list || revision >= vmhist->list->revision)
		return PST_ERR_AGAIN;
	if (revision < vmhist->gone_since || !was_held(vmhist, revision))
		revision = 0;
	out->vms = calloc(vmhist->list->count + 1, sizeof(struct vm *));
	out->gone = calloc(gone_kept(vmhist) + 1, sizeof(*out->gone));
	if (!out->vms || !out->gone) {
		vmhist_delta_free(out);
		return PST_ERR_NOMEM;
	}
	out->previous = revision;
	out->revision = vmhist->list->revision;
	for (size_t i = 0; i < vmhist->list->count; i++) {
		if (vmhist->changed_at[i] > revision)
			out->vms[out->vm_count++] = &vmhist->list->vms[i];
	}
	if (revision)
		add_gone(vmhist, revision, out);
	return 0;
}

void vmhist_delta_free(struct vmhist_delta *delta)
{
	free(delta->vms);
	free(delta->gone);
	memset(delta, 0, sizeof(*delta));
}

int vmhist_patch(const struct vmhist *vmhist, const struct vmhist_delta *delta,
		 struct vmlist **out)
{
	const struct vmlist *old = delta->previous ? vmhist->list : NULL;
	const uint64_t held = vmhist->list ? vmhist->list->revision : 0;
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
