#include "agent/tkt_store.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/err.h"
#include "policy/tkt_claim.h"

#define KEY_PREFIX "/pst/key/"

struct tkt_store {
	struct kvclient *kvclient;
	const struct clk *clk;
	uint32_t retention_s;
	uint64_t lease;
	apr_time_t lease_until;
};

/* Reads the claim that exists after a write was refused or unanswered. */
static struct tkt_ruling read_back(struct tkt_store *s, struct str key,
				   const struct tkt_owner *owner)
{
	struct tkt_ruling ruling = {.grant = TKT_GRANT_NO_REPLY};
	struct kvclient_list list = {0};

	if (kvclient_read_key(s->kvclient, key, &list))
		return ruling;
	if (list.count)
		ruling = tkt_claim_read(list.items[0].value, owner);
	kvclient_list_free(&list);
	return ruling;
}

static int ensure_lease(struct tkt_store *s)
{
	const apr_time_t now = clk_now(s->clk);
	int err;

	if (s->lease && now < s->lease_until)
		return 0;
	err = kvclient_lease_grant(s->kvclient, 2 * s->retention_s, &s->lease);
	if (err) {
		s->lease = 0;
		return err;
	}
	s->lease_until = now + CLK_SEC(s->retention_s);
	return 0;
}

int tkt_store_create(struct tkt_store **out, const struct settings *set,
		     const struct clk *clk)
{
	struct tkt_store *s = calloc(1, sizeof(*s));
	int err;

	if (!s)
		return PST_ERR_NOMEM;
	s->clk = clk;
	s->retention_s = (uint32_t)set->ticket.key_retention_s;
	err = kvclient_create(&s->kvclient, set, clk);
	if (err) {
		free(s);
		return err;
	}
	*out = s;
	return 0;
}

void tkt_store_destroy(struct tkt_store *s)
{
	if (!s)
		return;
	kvclient_destroy(s->kvclient);
	free(s);
}

void tkt_store_cancel(struct tkt_store *s)
{
	kvclient_cancel(s->kvclient);
}

struct tkt_ruling tkt_store_claim(struct tkt_store *s, struct str key,
				  const struct tkt_owner *owner)
{
	const struct tkt_ruling down = {
		.grant = TKT_GRANT_UNAVAILABLE,
		.reason = PST_ERR_TKT_STORE_DOWN,
	};
	char name[sizeof(KEY_PREFIX) + TKT_KEY_MAX];
	char value[TKT_CLAIM_MAX + 1];
	const struct str at = {
		.ptr = name,
		.len = (size_t)snprintf(name, sizeof(name), KEY_PREFIX "%.*s",
					STR_ARG(key)),
	};
	struct str text = {.ptr = value};
	uint64_t revision;
	int err;

	if (ensure_lease(s))
		return down;
	text.len = tkt_claim_format(owner, value);
	err = kvclient_swap(s->kvclient, at, 0, text, s->lease, &revision);
	if (!err)
		return (struct tkt_ruling){.grant = TKT_GRANT_YOURS};
	if (err == PST_ERR_CONFLICT || err == PST_ERR_TIMEOUT)
		return read_back(s, at, owner);
	/* The failure may be that of an expired lease. */
	s->lease = 0;
	return down;
}
