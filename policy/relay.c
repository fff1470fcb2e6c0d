#include "policy/relay.h"

#include <stdio.h>

size_t relay_pick(const struct vml *vml, struct str domain,
		  const struct vm *out[RELAY_PER_DOMAIN])
{
	char key[sizeof("relay/") + STR_ID_MAX];

	snprintf(key, sizeof(key), "relay/%.*s", STR_ARG(domain));
	return vml_rendezvous(vml, str_from_c(key), domain, out,
			      RELAY_PER_DOMAIN);
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
