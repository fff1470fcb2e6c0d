/* Claims of own keys against a store that fails in each possible way. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agent/tkt_store.h"
#include "common/err.h"
#include "policy/tkt_claim.h"
#include "tests/fix_run.h"

#define KEYS 8

/* Stub of the store's client. */
struct kvclient {
	char keys[KEYS][160];
	char values[KEYS][TKT_CLAIM_MAX + 1];
	size_t count;
	uint64_t lease;
	uint64_t last_lease;
	uint32_t last_ttl_s;
	/* Result of the next write. */
	int swap_err;
	/* The write is applied although it returns an error. */
	bool swap_applied;
	/* Results of the next read and of lease grants. */
	int read_err;
	int lease_err;
};

static struct kvclient store;

int kvclient_create(struct kvclient **out, const struct settings *set,
		    const struct clk *clk)
{
	(void)set;
	(void)clk;
	*out = &store;
	return 0;
}

void kvclient_destroy(struct kvclient *kvclient)
{
	(void)kvclient;
}

static int find(const struct kvclient *kvclient, struct str key)
{
	for (size_t i = 0; i < kvclient->count; i++) {
		if (str_eq(str_from_c(kvclient->keys[i]), key))
			return (int)i;
	}
	return -1;
}

int kvclient_swap(struct kvclient *kvclient, struct str key, uint64_t expected,
		  struct str value, uint64_t lease, uint64_t *revision)
{
	const int err = kvclient->swap_err;

	ck_assert_uint_eq(expected, 0);
	kvclient->swap_err = 0;
	*revision = 1;
	if (err && !kvclient->swap_applied)
		return err;
	if (find(kvclient, key) >= 0)
		return err ? err : PST_ERR_CONFLICT;
	memcpy(kvclient->keys[kvclient->count], key.ptr, key.len);
	memcpy(kvclient->values[kvclient->count++], value.ptr, value.len);
	kvclient->last_lease = lease;
	return err;
}

int kvclient_read_key(struct kvclient *kvclient, struct str key,
		      struct kvclient_list *out)
{
	const int err = kvclient->read_err;
	const int at = find(kvclient, key);

	kvclient->read_err = 0;
	if (err)
		return err;
	*out = (struct kvclient_list){.items = calloc(1, sizeof(*out->items))};
	if (at < 0)
		return 0;
	out->count = 1;
	out->items[0].value = str_from_c(kvclient->values[at]);
	return 0;
}

void kvclient_cancel(struct kvclient *kvclient)
{
	(void)kvclient;
}

void kvclient_list_free(struct kvclient_list *list)
{
	free(list->items);
}

int kvclient_lease_grant(struct kvclient *kvclient, uint32_t ttl_s,
			 uint64_t *lease)
{
	kvclient->last_ttl_s = ttl_s;
	*lease = ++kvclient->lease;
	return kvclient->lease_err;
}

static struct clk_manual clk;
static struct tkt_store *claims;
static const struct tkt_owner first_owner = {
	.vm = 1, .incarnation = 2, .attempt = 3};
static const struct tkt_owner second_owner = {
	.vm = 4, .incarnation = 5, .attempt = 6};

static void open_store(void)
{
	static struct settings set = {.ticket.key_retention_s = 100};

	memset(&store, 0, sizeof(store));
	clk_manual_init(&clk, CLK_SEC(1));
	ck_assert_int_eq(tkt_store_create(&claims, &set, &clk.base), 0);
}

static struct tkt_ruling claim(const char *key, const struct tkt_owner *owner)
{
	return tkt_store_claim(claims, str_from_c(key), owner);
}

static void expect(const char *key, const struct tkt_owner *owner,
		   enum tkt_grant grant, int reason)
{
	const struct tkt_ruling ruling = claim(key, owner);

	ck_assert_int_eq(ruling.grant, grant);
	ck_assert_int_eq(ruling.reason, reason);
}

START_TEST(first_claim_owns_the_key)
{
	struct tkt_ruling ruling;

	open_store();
	expect("a", &first_owner, TKT_GRANT_YOURS, 0);
	expect("a", &first_owner, TKT_GRANT_YOURS, 0);
	ruling = claim("a", &second_owner);
	ck_assert(tkt_owner_eq(&ruling.owner, &first_owner));
	/* A key with a prefix that is another key is a distinct key. */
	expect("ab", &second_owner, TKT_GRANT_YOURS, 0);
	expect("a", &second_owner, TKT_GRANT_OTHER, 0);
	tkt_store_destroy(claims);
}
END_TEST

START_TEST(lost_reply_is_read_back)
{
	open_store();
	store.swap_err = PST_ERR_TIMEOUT;
	store.swap_applied = true;
	expect("a", &first_owner, TKT_GRANT_YOURS, 0);
	store.swap_err = PST_ERR_TIMEOUT;
	expect("a", &second_owner, TKT_GRANT_OTHER, 0);
	store.swap_applied = false;
	store.swap_err = PST_ERR_TIMEOUT;
	expect("b", &first_owner, TKT_GRANT_NO_REPLY, 0);
	store.swap_err = PST_ERR_TIMEOUT;
	store.read_err = PST_ERR_UNAVAILABLE;
	expect("b", &first_owner, TKT_GRANT_NO_REPLY, 0);
	expect("b", &first_owner, TKT_GRANT_YOURS, 0);
	tkt_store_destroy(claims);
}
END_TEST

START_TEST(unavailable_store_claims_nothing)
{
	open_store();
	store.lease_err = PST_ERR_UNAVAILABLE;
	expect("a", &first_owner, TKT_GRANT_UNAVAILABLE,
	       PST_ERR_TKT_STORE_DOWN);
	store.lease_err = 0;
	store.swap_err = PST_ERR_UNAVAILABLE;
	expect("a", &first_owner, TKT_GRANT_UNAVAILABLE,
	       PST_ERR_TKT_STORE_DOWN);
	ck_assert_uint_eq(store.count, 0);
	expect("a", &second_owner, TKT_GRANT_YOURS, 0);
	tkt_store_destroy(claims);
}
END_TEST

START_TEST(keys_outlive_the_retention_time)
{
	open_store();
	claim("a", &first_owner);
	ck_assert_uint_eq(store.last_ttl_s, 200);
	ck_assert_uint_eq(store.last_lease, 1);
	clk_manual_advance(&clk, CLK_SEC(99));
	claim("b", &first_owner);
	ck_assert_uint_eq(store.last_lease, 1);
	clk_manual_advance(&clk, CLK_SEC(1));
	claim("c", &first_owner);
	ck_assert_uint_eq(store.last_lease, 2);
	/* After a refused write a new lease is used, as it may be the cause. */
	store.swap_err = PST_ERR_UNAVAILABLE;
	claim("d", &first_owner);
	claim("d", &first_owner);
	ck_assert_uint_eq(store.last_lease, 3);
	tkt_store_destroy(claims);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_store");

	tcase_add_test(tc, first_claim_owns_the_key);
	tcase_add_test(tc, lost_reply_is_read_back);
	tcase_add_test(tc, unavailable_store_claims_nothing);
	tcase_add_test(tc, keys_outlive_the_retention_time);
	return fix_run("tkt_store", tc);
}
