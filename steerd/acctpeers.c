#include "steerd/acctpeers.h"

#include "common/evt.h"
#include "platform/plt_codec.h"
#include "schema/gen/account.h"
#include "steerd/acctlist.h"
#include "steerd/acctstats.h"
#include "steerd/feedstate.h"

#define LOG_MODULE "acctpeers"

/* Size of an encoded state. */
#define STATE_BYTES 20

/* Most VMs of a tenant's order that are considered: in a region, the first. */
#define MAX_ORDER 512

static void send_state(struct accounts *accounts, int vm,
		       const struct act_x_state *state)
{
	char bytes[STATE_BYTES];
	struct sockaddr_in to;
	XDR xdr;

	xdrmem_create(&xdr, bytes, sizeof(bytes), XDR_ENCODE);
	if (!accounts->sock ||
	    plt_read_addr(strbuf_str(&accounts->st->vms.list[vm].peer), &to) ||
	    !xdr_act_x_state(&xdr, (struct act_x_state *)(uintptr_t)state))
		return;
	acctstats_count_datagram(
		peersock_send(
			accounts->sock, &to,
			(struct str){.ptr = bytes, .len = xdr_getpos(&xdr)})
			? ACCTSTATS_SENT
			: ACCTSTATS_NOT_SENT);
}

static void ask(struct accounts *accounts, int vm, apr_time_t now)
{
	const struct act_x_state question = {
		.kind = ACT_X_STATE_KIND,
		.is_question = true,
	};

	if (vm != accounts->self &&
	    accthold_should_ask(&accounts->hold, accounts->st->vms.hashes[vm],
				now))
		send_state(accounts, vm, &question);
}

static u_int to_ms(apr_interval_time_t age)
{
	const apr_interval_time_t ms = age / 1000;

	if (ms < 0)
		return 0;
	return ms < UINT32_MAX ? (u_int)ms : UINT32_MAX;
}

static void answer(struct accounts *accounts, int vm)
{
	const struct accthold_state own =
		accthold_own_state(&accounts->hold, clk_now(accounts->st->clk));
	const struct act_x_state state = {
		.kind = ACT_X_STATE_KIND,
		.list_age_ms = to_ms(own.list_age),
		.store_age_ms = to_ms(own.store_age),
		.is_settled = own.is_settled,
	};

	send_state(accounts, vm, &state);
}

static void on_datagram(void *ctx, size_t vm, struct str bytes)
{
	struct accounts *accounts = ctx;
	struct act_x_state state;
	XDR xdr;

	xdrmem_create(&xdr, (char *)(uintptr_t)bytes.ptr, (u_int)bytes.len,
		      XDR_DECODE);
	if (!xdr_act_x_state(&xdr, &state) || xdr_getpos(&xdr) != bytes.len) {
		acctstats_count_datagram(ACCTSTATS_DAMAGED);
		return;
	}
	acctstats_count_datagram(ACCTSTATS_TAKEN);
	if (state.is_question) {
		answer(accounts, (int)vm);
	} else {
		const struct accthold_state said = {
			.list_age = CLK_MS(state.list_age_ms),
			.store_age = CLK_MS(state.store_age_ms),
			.is_settled = state.is_settled,
		};

		accthold_note_peer(&accounts->hold,
				   accounts->st->vms.hashes[vm], &said,
				   clk_now(accounts->st->clk));
	}
}

/* A VM that this one does not list yet asks again. */
static bool on_unlisted(void *ctx, const struct sockaddr_in *from,
			struct str bytes)
{
	(void)ctx;
	(void)from;
	(void)bytes;
	return true;
}

void acctpeers_start(struct accounts *accounts, struct peersock *sock)
{
	const struct peersock_kind kind = {
		.kind = ACT_X_STATE_KIND,
		.receive = on_datagram,
		.receive_unlisted = on_unlisted,
		.ctx = accounts,
	};

	if (sock)
		peersock_add_kind(sock, &kind);
}

/* VMs all over the list, without this one; returns their count. */
static unsigned sample(const struct accounts *accounts,
		       int out[ACCTHOLD_SAMPLE])
{
	const size_t count = accounts->st->vms.count;
	const size_t first =
		accounts->self == ACCTORDER_NONE ? 0 : (size_t)accounts->self;
	const size_t others =
		accounts->self == ACCTORDER_NONE ? count : count - 1;
	const size_t size = others < ACCTHOLD_SAMPLE ? others : ACCTHOLD_SAMPLE;

	for (size_t i = 0; i < size; i++)
		out[i] = (int)((first + 1 + i * others / size) % count);
	return (unsigned)size;
}

static void check_outage(struct accounts *accounts, apr_time_t now)
{
	int vms[ACCTHOLD_SAMPLE];
	uint64_t hashes[ACCTHOLD_SAMPLE];
	const unsigned count = sample(accounts, vms);

	for (unsigned i = 0; i < count; i++) {
		hashes[i] = accounts->st->vms.hashes[vms[i]];
		ask(accounts, vms[i], now);
	}
	accthold_judge_outage(&accounts->hold, hashes, count, now);
}

/* Tells the VMs of the region that this one has joined, if they list it. */
static void announce(struct accounts *accounts, apr_time_t now)
{
	const struct vms *vms = &accounts->st->vms;

	for (size_t i = 0; i < vms->count; i++) {
		if (vms->list[i].region == accounts->st->region &&
		    !accthold_is_known_to(&accounts->hold, vms->hashes[i]))
			ask(accounts, (int)i, now);
	}
}

static void log_change(const struct accounts *accounts, apr_time_t now)
{
	const struct accthold *hold = &accounts->hold;
	const unsigned vms = (unsigned)accounts->st->vms.count;

	if (hold->is_stopped)
		evt_log(SHARES_STOPPED,
			"renewed_ms=%lld list_ms=%lld asked=%u unserved=%u "
			"vms=%u",
			(long long)(now - hold->renewed_at) / 1000,
			(long long)(now - hold->listed_at) / 1000, hold->asked,
			hold->unserved, vms);
	else
		evt_log(SHARES_RESUMED, "stopped_ms=%lld vms=%u",
			(long long)(now - hold->stopped_at) / 1000, vms);
}

bool acctpeers_beat(struct accounts *accounts)
{
	struct accthold *hold = &accounts->hold;
	const apr_time_t now = clk_now(accounts->st->clk);
	bool changed;

	accthold_note_list(hold, feed_vms_fresh_at(accounts->st->feeds));
	if (accthold_needs_sample(hold, now))
		check_outage(accounts, now);
	changed = accthold_update(hold, now);
	if (changed)
		log_change(accounts, now);
	if (accthold_is_joining(hold, now))
		announce(accounts, now);
	return changed;
}

/* When a VM that is not listed left; the present time if that is not known. */
static apr_time_t left_at(const struct accounts *accounts, uint64_t vm)
{
	const struct acct_left *left = &accounts->left;
	apr_time_t at = 0;

	for (size_t i = 0; i < left->count && i < ACCT_MAX_LEFT; i++) {
		if (vms_hash(strbuf_str(&left->vms[i].id)) == vm &&
		    left->at[i] > at)
			at = left->at[i];
	}
	return at ? at : clk_now(accounts->st->clk);
}

/* Writes the VMs of the region by the tenant's order; returns their count. */
static unsigned find_members(const struct acct_tenant *tenant,
			     struct accthold_member out[MAX_ORDER])
{
	const struct accounts *accounts = tenant->accounts;
	const struct vms *listed = &accounts->st->vms;
	struct vms all = {0};
	const bool any_left = acctlist_add_left(accounts, &all) != 0;
	const struct vms *vms = any_left ? &all : listed;
	int order[MAX_ORDER];
	const unsigned count = acctorder_first(vms, accounts->st->region,
					       tenant->hash, MAX_ORDER, order);

	for (unsigned i = 0; i < count; i++) {
		const struct str id = strbuf_str(&vms->list[order[i]].id);
		const bool is_listed =
			!any_left || vms_find(listed, id) < listed->count;

		out[i] = (struct accthold_member){
			.vm = vms->hashes[order[i]],
			.left_at = is_listed ? 0
					     : left_at(accounts,
						       vms->hashes[order[i]]),
		};
	}
	vms_free(&all);
	return count;
}

apr_time_t acctpeers_usable_at(const struct acct_tenant *tenant)
{
	const struct accounts *accounts = tenant->accounts;
	const apr_time_t now = clk_now(accounts->st->clk);
	struct accthold_member members[MAX_ORDER];
	unsigned count = 0;

	if (accthold_is_joining(&accounts->hold, now))
		count = find_members(tenant, members);
	return accthold_usable_at(&accounts->hold, members, count,
				  count < MAX_ORDER, accounts->self_hash,
				  tenant->order.region_accounts, now);
}
