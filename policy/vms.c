#include "policy/vms.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* A domain with fewer VMs is served by those of its region. */
#define MIN_DOMAIN_VMS 2

uint64_t vms_hash(struct str id)
{
	return str_hash(id, 0);
}

size_t vms_find(const struct vms *vms, struct str id)
{
	size_t i = 0;

	while (i < vms->count && !str_eq(strbuf_str(&vms->list[i].id), id))
		i++;
	return i;
}

static int grow(struct vms *vms)
{
	const size_t cap = vms->cap ? 2 * vms->cap : 32;
	struct vms_entry *list;
	uint64_t *hashes;

	if (vms->count == VMS_MAX)
		return PST_ERR_FULL;
	list = realloc(vms->list, cap * sizeof(*list));
	if (!list)
		return PST_ERR_NOMEM;
	vms->list = list;
	hashes = realloc(vms->hashes, cap * sizeof(*hashes));
	if (!hashes)
		return PST_ERR_NOMEM;
	vms->hashes = hashes;
	vms->cap = cap;
	return 0;
}

void vms_free(struct vms *vms)
{
	free(vms->list);
	free(vms->hashes);
	*vms = (struct vms){0};
}

static bool is_same_place(const struct vms_entry *a, const struct vms_entry *b)
{
	return strbuf_eq(&a->id, &b->id) && strbuf_eq(&a->peer, &b->peer) &&
	       a->domain == b->domain && a->region == b->region;
}

int vms_put(struct vms *vms, const struct vms_entry *entry)
{
	const size_t at = vms_find(vms, strbuf_str(&entry->id));

	if (at == vms->count) {
		const int err = vms->count == vms->cap ? grow(vms) : 0;

		if (err)
			return err;
		vms->list[vms->count++] = (struct vms_entry){0};
	}
	if (!is_same_place(&vms->list[at], entry))
		vms->version++;
	vms->list[at] = *entry;
	vms->list[at].hash = vms_hash(strbuf_str(&entry->id));
	vms->hashes[at] = vms->list[at].hash;
	return 0;
}

static void drop(struct vms *vms, size_t at)
{
	vms->count--;
	vms->version++;
	vms->list[at] = vms->list[vms->count];
	vms->hashes[at] = vms->hashes[vms->count];
}

bool vms_remove(struct vms *vms, struct str id, apr_time_t hold_until)
{
	const size_t at = vms_find(vms, id);

	if (at == vms->count)
		return false;
	if (!hold_until)
		drop(vms, at);
	else if (!vms->list[at].hold_until)
		vms->list[at].hold_until = hold_until;
	return true;
}

int vms_expire(struct vms *vms, apr_time_t now)
{
	int count = 0;

	for (size_t i = vms->count; i > 0; i--) {
		const apr_time_t until = vms->list[i - 1].hold_until;

		if (until && until <= now) {
			drop(vms, i - 1);
			count++;
		}
	}
	return count;
}

unsigned vms_in_region(const struct vms *vms, int region)
{
	unsigned count = 0;

	for (size_t i = 0; i < vms->count; i++)
		count += vms->list[i].region == region;
	return count ? count : 1;
}

static size_t count_domain(const struct vms *vms, int domain)
{
	size_t count = 0;

	for (size_t i = 0; i < vms->count; i++)
		count += vms->list[i].domain == domain;
	return count;
}

size_t vms_choose(const struct vms *vms, int domain, int region, uint64_t draw,
		  apr_time_t now, struct strbuf *out)
{
	const bool use_domain =
		domain >= 0 && count_domain(vms, domain) >= MIN_DOMAIN_VMS;
	const size_t start = vms->count ? draw % vms->count : 0;
	size_t count = 0;

	for (int pass = 0; pass < 3 && !count; pass++) {
		const bool any = pass > 0;
		const bool doubtful = pass > 1;

		for (size_t i = 0; i < vms->count; i++) {
			const struct vms_entry *vm =
				&vms->list[(start + i) % vms->count];

			if (!any && (use_domain ? vm->domain != domain
						: vm->region != region))
				continue;
			if (!doubtful && vm->doubt_until > now)
				continue;
			if (count < VMS_MAX_ANSWER)
				out[count++] = vm->front;
		}
	}
	return count;
}
