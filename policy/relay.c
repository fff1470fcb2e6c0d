#include "policy/relay.h"

#include <stdio.h>
#include <stdlib.h>

/* Writes the domain's live VMs in the order in which they become relays. */
static size_t order_candidates(const struct vmlist *vmlist, struct str domain,
			       const struct vm **out, size_t want)
{
	char key[sizeof("relay/") + STR_ID_MAX];

	snprintf(key, sizeof(key), "relay/%.*s", STR_ARG(domain));
	return vmlist_rendezvous(vmlist, str_from_c(key), domain, out, want);
}

size_t relay_pick(const struct vmlist *vmlist, struct str domain,
		  const struct vm *out[RELAY_PER_DOMAIN])
{
	return order_candidates(vmlist, domain, out, RELAY_PER_DOMAIN);
}

size_t relay_children(const struct vmlist *vmlist, struct str domain,
		      struct str id, const struct vm *out[RELAY_CHILDREN_MAX])
{
	const struct vm *order[VMLIST_MAX_PICKS];
	const size_t total =
		order_candidates(vmlist, domain, order, VMLIST_MAX_PICKS);
	size_t count = 0;
	size_t self;
	size_t first;

	for (self = 0; self < total; self++) {
		if (str_eq(strbuf_str(&order[self]->id), id))
			break;
	}
	if (self == total)
		return 0;
	for (size_t i = 0;
	     self < RELAY_PER_DOMAIN && i < RELAY_PER_DOMAIN && i < total;
	     i++) {
		if (i != self)
			out[count++] = order[i];
	}
	first = RELAY_PER_DOMAIN + self * RELAY_FANOUT;
	for (size_t i = first; i < first + RELAY_FANOUT && i < total; i++)
		out[count++] = order[i];
	return count;
}

static int compare_names(const void *a, const void *b)
{
	const struct str *one = a;
	const struct str *two = b;

	return str_cmp(*one, *two);
}

/*
 * Returns the sorted names of the domains with entry VMs. The array is owned by
 * the caller, the names by vmlist. NULL: no memory.
 */
static struct str *entry_domains(const struct vmlist *vmlist, size_t *count)
{
	struct str *names = calloc(vmlist->count + 1, sizeof(*names));
	size_t kept = 0;
	size_t total = 0;

	for (size_t i = 0; names && i < vmlist->count; i++) {
		if (vmlist->vms[i].kind == VM_ENTRY)
			names[total++] = strbuf_str(&vmlist->vms[i].domain);
	}
	if (total)
		qsort(names, total, sizeof(*names), compare_names);
	for (size_t i = 0; i < total; i++) {
		if (!kept || !str_eq(names[kept - 1], names[i]))
			names[kept++] = names[i];
	}
	*count = kept;
	return names;
}

static size_t index_of(const struct str *names, size_t count, struct str name)
{
	size_t at = 0;

	while (at < count && !str_eq(names[at], name))
		at++;
	return at;
}

size_t relay_domain_children(const struct vmlist *vmlist, struct str root,
			     struct str domain,
			     const struct vm *out[RELAY_DOMAIN_CHILDREN_MAX])
{
	size_t count;
	struct str *names = entry_domains(vmlist, &count);
	const size_t root_index = names ? index_of(names, count, root) : 0;
	const size_t domain_index = names ? index_of(names, count, domain) : 0;
	size_t first;
	size_t picked = 0;

	if (!names || root_index == count || domain_index == count) {
		free(names);
		return 0;
	}
	first = (domain_index + count - root_index) % count * RELAY_FANOUT + 1;
	for (size_t i = first; i < first + RELAY_FANOUT && i < count; i++)
		picked += relay_pick(vmlist, names[(root_index + i) % count],
				     &out[picked]);
	free(names);
	return picked;
}

bool relay_is(const struct vmlist *vmlist, struct str domain, struct str id)
{
	const struct vm *relays[RELAY_PER_DOMAIN];
	const size_t count = relay_pick(vmlist, domain, relays);

	for (size_t i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&relays[i]->id), id))
			return true;
	}
	return false;
}
