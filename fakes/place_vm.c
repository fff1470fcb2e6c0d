/* Decisions of the VMs of the placement model. */
#include "fakes/place_state.h"
#include "policy/admission.h"
#include "policy/spillover.h"

/*
 * Ratio of load to slots below which the alternatives to fair shares admit a
 * request of a tenant that has its share, as admission does in policy/.
 */
#define SHARE_LOAD_LIMIT 0.75

static int least_loaded(struct model *m, struct vm *vm, int tries)
{
	int best = -1;

	for (int i = 0; i < tries; i++) {
		const int at = tries == m->up_count
				       ? i
				       : (int)(placesim_draw(m) * m->up_count);

		if (best < 0 || up_current_load(vm->ups[at], m->now) <
					up_current_load(vm->ups[best], m->now))
			best = at;
	}
	return best;
}

static int first_by_hash(const struct model *m, uint64_t object)
{
	uint64_t most = 0;
	int best = 0;

	for (int i = 0; i < m->up_count; i++) {
		const uint64_t key[2] = {object, (uint64_t)i};
		const uint64_t score =
			str_hash((struct str){.ptr = (const char *)key,
					      .len = sizeof(key)},
				 3);

		if (score >= most) {
			most = score;
			best = i;
		}
	}
	return best;
}

struct registry_route_stats *placesim_run_of(const struct model *m,
					     struct vm *vm,
					     const struct place_request *r)
{
	return registry_route_stats_of(
		&vm->registry,
		registry_find_service(&vm->registry, STR_LIT("s")),
		m->routes[r->kind].name);
}

/* Whether an alternative to the shares of policy/ refuses the request. */
static bool is_refused_by_sharer(const struct model *m, struct vm *vm,
				 const struct rankstats *ranks,
				 const struct place_request *r, bool admitted)
{
	const struct fairshare_request share = {
		.tenant = placesim_tenant_hash(r->tenant),
		.slot_time = m->load->slots * (double)r->pick.queue_step,
	};
	const bool over = placesim_sharer_is_over(
		&vm->sharer, m->load->tenants.shares, &share, m->now);

	if (over && rankstats_late(ranks, 0) > RANKSTATS_MAX_LATE &&
	    r->pick.load >= SHARE_LOAD_LIMIT * m->load->slots)
		return true;
	if (admitted)
		placesim_sharer_admitted(&vm->sharer, &share, m->now);
	return false;
}

/* Whether admission refuses the request at the chosen upstream. */
static bool is_refused(const struct model *m, struct vm *vm,
		       struct registry_service *svc, struct place_request *r)
{
	const enum placesim_shares shares = m->load->tenants.shares;
	const struct admission_request request = {
		.route = &m->routes[r->kind],
		.rank = m->routes[r->kind].rank,
		.tenant = placesim_tenant_hash(r->tenant),
		.pick = &r->pick,
		.shares =
			shares == PLACESIM_SHARES_MAX_MIN ? &svc->shares : NULL,
	};
	const enum admission_verdict verdict = admission_request(
		&svc->ranks, &request, m->now, &r->retry_after);

	if (verdict == ADMISSION_OVER_SHARE && r->counted)
		m->out->tenants[r->tenant].over_share++;
	if (shares > PLACESIM_SHARES_MAX_MIN &&
	    is_refused_by_sharer(m, vm, &svc->ranks, r,
				 verdict == ADMISSION_SEND))
		return true;
	return verdict != ADMISSION_SEND;
}

static struct registry_service *service_of(struct vm *vm)
{
	return registry_find_service(&vm->registry, STR_LIT("s"));
}

static struct placement_request make_ask(const struct model *m, struct vm *vm,
					 const struct place_request *r)
{
	return (struct placement_request){
		.svc = service_of(vm),
		.run = placesim_run_of(m, vm, r),
		.route = &m->routes[r->kind],
		.geo = &m->geo,
		.domain = r->region + (r->vm & 1) * PLACESIM_REGIONS,
		.region = r->region,
		.object = r->object,
		.bytes = 5000,
		.region_rtt = vm->region_rtt,
		.now = m->now,
	};
}

static int index_of(const struct model *m, const struct vm *vm,
		    const struct up *up)
{
	for (int i = 0; i < m->up_count; i++) {
		if (vm->ups[i] == up)
			return i;
	}
	return -1;
}

static int own_choice(struct model *m, struct vm *vm, struct place_request *r)
{
	struct registry_service *svc = service_of(vm);
	const struct spillover_rules rules = {
		.geo = &m->geo,
		.own = r->region,
		.vms = (unsigned)(2 * m->load->vms[r->region]),
		.shift_most = 0.15,
	};
	const struct placement_request ask = make_ask(m, vm, r);

	spillover_update(svc, &rules, m->now);
	placement_choose(&ask, &r->pick);
	if (r->pick.up && m->policy == PLACESIM_OWN &&
	    is_refused(m, vm, svc, r))
		return -1;
	return index_of(m, vm, r->pick.up);
}

int placesim_choose(struct model *m, struct vm *vm, struct place_request *r)
{
	switch (m->policy) {
	case PLACESIM_OWN:
	case PLACESIM_NO_ADMISSION:
		return own_choice(m, vm, r);
	case PLACESIM_RANDOM:
		return (int)(placesim_draw(m) * m->up_count);
	case PLACESIM_LEAST_LOAD:
		return least_loaded(m, vm, m->up_count);
	case PLACESIM_TWO_CHOICES:
		return least_loaded(m, vm, 2);
	case PLACESIM_HASH:
		return first_by_hash(m, r->object);
	}
	return -1;
}
