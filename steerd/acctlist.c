#include "steerd/acctlist.h"

#include "platform/plt_codec.h"

/*
 * Time for which a VM that left the list gets permits: it may run, and the
 * store turn it away, so that its lease has ended.
 */
#define LEFT_SERVED_US (60 * APR_USEC_PER_SEC)

/* Finds this VM's numbers among the listed ones, in the order of hashes. */
static void number_self(struct accounts *accounts)
{
	const struct st *st = accounts->st;

	accounts->self_index = 0;
	accounts->region_index = 0;
	for (size_t i = 0; i < st->vms.count; i++) {
		const bool before = st->vms.hashes[i] < accounts->self_hash;

		accounts->self_index += before;
		accounts->region_index +=
			before && st->vms.list[i].region == st->region &&
			acctorder_can_keep(&st->vms, i);
	}
}

/* Notes whether this VM is listed: it may join the list, or leave it. */
static void note_presence(struct accounts *accounts, bool listed)
{
	if (!accounts->list_known ||
	    listed == (accounts->self != ACCTORDER_NONE))
		return;
	/* At the start, none has taken over a share; see list_known. */
	if (listed && !accounts->was_listed)
		accthold_note_join(&accounts->hold, clk_now(accounts->st->clk));
	if (!listed)
		accounts->was_listed = false;
}

bool acctlist_update(struct accounts *accounts)
{
	const struct vms *vms = &accounts->st->vms;
	size_t self;

	if (accounts->list_version == vms->version)
		return false;
	accounts->list_version = vms->version;
	self = vms_find(vms, accounts->st->set->vm.id);
	note_presence(accounts, self < vms->count);
	accounts->self = self < vms->count ? (int)self : ACCTORDER_NONE;
	number_self(accounts);
	return true;
}

void accounts_list_known(struct accounts *accounts)
{
	const struct vms *vms = &accounts->st->vms;

	if (accounts->list_known)
		return;
	accounts->list_known = true;
	/* Without any other VM, none has taken over a share. */
	accounts->was_listed =
		!vms->count ||
		vms_find(vms, accounts->st->set->vm.id) < vms->count;
	if (!vms->count)
		accthold_note_empty_list(&accounts->hold,
					 clk_now(accounts->st->clk));
}

void accounts_note_renewal(struct accounts *accounts, apr_time_t at)
{
	accthold_note_renewal(&accounts->hold, at);
}

void accounts_note_left(struct accounts *accounts,
			const struct vms_entry *entry)
{
	struct acct_left *left = &accounts->left;
	const size_t at = left->count++ % ACCT_MAX_LEFT;

	left->vms[at] = *entry;
	left->at[at] = clk_now(accounts->st->clk);
}

bool accounts_has_left(const struct accounts *accounts, struct str id,
		       apr_time_t since)
{
	const struct acct_left *left = &accounts->left;

	for (size_t i = 0; i < left->count && i < ACCT_MAX_LEFT; i++) {
		if (left->at[i] >= since &&
		    str_eq(strbuf_str(&left->vms[i].id), id))
			return true;
	}
	return false;
}

apr_time_t acctlist_add_left(const struct accounts *accounts, struct vms *out)
{
	const struct acct_left *left = &accounts->left;
	const struct vms *vms = &accounts->st->vms;
	const apr_time_t now = clk_now(accounts->st->clk);
	apr_time_t last = 0;

	for (size_t i = 0; i < left->count && i < ACCT_MAX_LEFT; i++) {
		const struct str id = strbuf_str(&left->vms[i].id);

		if (now - left->at[i] >= ACCOUNT_LIST_SPREAD_US ||
		    vms_find(vms, id) < vms->count)
			continue;
		if (vms_put(out, &left->vms[i]))
			return now;
		if (left->at[i] > last)
			last = left->at[i];
	}
	for (size_t i = 0; last && i < vms->count; i++) {
		if (vms_put(out, &vms->list[i]))
			return now;
	}
	return last;
}

int acctlist_find_left(const struct accounts *accounts,
		       const struct sockaddr_in *from)
{
	const struct acct_left *left = &accounts->left;
	const apr_time_t since = clk_now(accounts->st->clk) - LEFT_SERVED_US;
	struct sockaddr_in addr;

	for (size_t i = 0; i < left->count && i < ACCT_MAX_LEFT; i++) {
		if (left->at[i] >= since &&
		    !plt_read_addr(strbuf_str(&left->vms[i].peer), &addr) &&
		    addr.sin_addr.s_addr == from->sin_addr.s_addr &&
		    addr.sin_port == from->sin_port)
			return ACCT_LEFT_VM - (int)i;
	}
	return ACCTORDER_NONE;
}
