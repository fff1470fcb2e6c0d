#include "policy/relay.h"

#include <stdio.h>

/* The domain's live VMs in the order in which they become relays. */
static size_t ranked(const struct vml *vml, struct str domain,
		     const struct vm **out, size_t want)
{
	char key[sizeof("relay/") + STR_ID_MAX];

	snprintf(key, sizeof(key), "relay/%.*s", STR_ARG(domain));
	return vml_rendezvous(vml, str_from_c(key), domain, out, want);
}

size_t relay_pick(const struct vml *vml, struct str domain,
		  const struct vm *out[RELAY_PER_DOMAIN])
{
	return ranked(vml, domain, out, RELAY_PER_DOMAIN);
}

size_t relay_children(const struct vml *vml, struct str domain, struct str id,
		      const struct vm *out[RELAY_CHILDREN_MAX])
{
	const struct vm *order[VML_MAX_PICKS];
	const size_t all = ranked(vml, domain, order, VML_MAX_PICKS);
	size_t count = 0;
	size_t self;
	size_t first;

	for (self = 0; self < all; self++) {
		if (str_eq(strbuf_str(&order[self]->id), id))
			break;
	}
	if (self == all)
		return 0;
	for (size_t i = 0;
	     self < RELAY_PER_DOMAIN && i < RELAY_PER_DOMAIN && i < all; i++) {
		if (i != self)
			out[count++] = order[i];
	}
	first = RELAY_PER_DOMAIN + self * RELAY_FANOUT;
	for (size_t i = first; i < first + RELAY_FANOUT && i < all; i++)
		out[count++] = order[i];
	return count;
}

bool relay_is(const struct vml *vml, struct str domain, struct str id)
{
	const struct vm *relays[RELAY_PER_DOMAIN];
	const size_t count = relay_pick(vml, domain, relays);

	for (size_t i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&relays[i]->id), id))
			return true;
	}
	return false;
}
