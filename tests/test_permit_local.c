#include <check.h>

#include "agent/permit_local.h"
#include "common/clk.h"
#include "tests/fix_limits.h"
#include "tests/fix_run.h"

#define SLOTS 4
#define ASKS  6

static unsigned granted;

static void count_grants(void *ctx, const struct broker_answer *answer)
{
	(void)ctx;
	granted += answer->result == PERMIT_GRANTED;
}

/* Number of slots that an entry VM uses at the first domain's upstream. */
static unsigned slots_of(const struct ctl_view *view, enum pick_policy policy,
			 size_t entry)
{
	const struct vmlist *vmlist = view->vmlist;
	const struct permit_local_cfg cfg = {
		.policy = policy,
		.service = STR_LIT("status"),
		.domain = strbuf_str(&vmlist->vms[0].domain),
		.entry = strbuf_str(&vmlist->vms[entry].id),
		.epoch = 1,
		.sink = {.answer = count_grants},
	};
	struct permit_local *local;

	granted = 0;
	ck_assert_int_eq(permit_local_create(&local, &cfg, 0), 0);
	permit_local_view(local, view, 0);
	for (uint64_t id = 1; id <= ASKS; id++) {
		const struct broker_ask ask = {
			.id = id,
			.rank = RANK_URGENT,
			.deadline = CLK_SEC(1),
		};

		permit_local_ask(local, &ask, 0);
	}
	permit_local_destroy(local);
	return granted;
}

/* Two domains of three VMs; the last VM of the first one is the upstream. */
START_TEST(the_domains_own_entry_vms_share_its_slots)
{
	struct tbl *tbl = fix_tbl(1, 2, 100, 0, 100);
	struct vmlist *vmlist = fix_vml(1, 2, 3);
	struct ctl_view view = {.tbl = tbl, .vmlist = vmlist};
	struct vm *up = &vmlist->vms[2];

	up->kind = VM_UPSTREAM;
	up->slots = SLOTS;
	strbuf_set(&up->service, STR_LIT("status"));
	ck_assert_uint_eq(slots_of(&view, PICK_BROKER, 0) +
				  slots_of(&view, PICK_BROKER, 1),
			  SLOTS);
	ck_assert_uint_eq(slots_of(&view, PICK_BROKER, 3), 1);
	/* With the static split, all five entry VMs have a share. */
	ck_assert_uint_eq(slots_of(&view, PICK_STATIC_SPLIT, 0), 1);
	/* Without live entry VMs in the domain, all others have a share. */
	vmlist->vms[0].state = VM_LEAVING;
	vmlist->vms[1].state = VM_LEAVING;
	ck_assert_uint_eq(slots_of(&view, PICK_BROKER, 3) +
				  slots_of(&view, PICK_BROKER, 4) +
				  slots_of(&view, PICK_BROKER, 5),
			  SLOTS);
	tbl_put(tbl);
	vmlist_put(vmlist);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("permit_local");

	tcase_add_test(tc, the_domains_own_entry_vms_share_its_slots);
	return fix_run("permit_local", tc);
}
