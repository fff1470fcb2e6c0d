#include "fakes/pace_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "common/clk.h"
#include "common/err.h"
#include "fakes/agenda.h"
#include "fakes/pace_rules.h"
#include "fakes/place_slow.h"
#include "fakes/warm.h"
#include "policy/placement.h"
#include "policy/spillover.h"

#define REGIONS	    3
#define DOMAINS	    (2 * REGIONS)
#define MAX_VMS	    300

#define CLOCK_START CLK_SEC(1000)
/* Time from the start until the upstreams return. */
#define RETURN_AT (CLOCK_START + CLK_SEC(10))
#define END_AT	  (RETURN_AT + PACESIM_BINS * (apr_time_t)PACESIM_BIN_US)
/* Late and refused requests are counted until then. */
#define COUNT_UNTIL (RETURN_AT + 2 * (apr_time_t)PACESIM_COLD_US)

/* An upstream's slots and queue, and how slow it is at first when cold. */
#define SLOTS	    3
#define QUEUE	    12
#define COLD_FACTOR 4

/* Run time, its part with a warm object, target, objects and memory. */
#define RUN_US	  410000.0
#define WARM_PART 0.3
#define TARGET	  CLK_MS(400)
#define OBJECTS	  1000
#define WARM_ROOM 26

/* Bound on requests to a cold upstream. */
#define COLD_PER_S   5.0
#define COLD_OVERAGE 1.5
#define COLD_SLACK   8.0

/* Interval of an upstream's updates, and the longest time to a VM. */
#define UPDATE_US  CLK_SEC(1)
#define LIST_DELAY CLK_MS(500)
#define RECENT	   64

enum event_kind {
	EV_ARRIVAL,
	EV_AT_UPSTREAM,
	EV_RUN_END,
	EV_ANSWER,
	EV_UPDATE,
};

struct place_request {
	int vm;
	int region;
	int up;
	uint64_t object;
	apr_time_t sent_at;
	struct placement_pick pick;
	bool shed;
	bool warm;
	struct up_load_report report;
	struct place_request *next;
};

struct upstream {
	int domain;
	bool returns;
	int running;
	int waiting;
	struct place_request *head;
	struct place_request **tail;
	struct warm warm;
	/* Arrivals of the last requests while it is cold. */
	apr_time_t recent[RECENT];
	unsigned arrivals;
};

struct vm {
	struct registry registry;
	struct up *ups[PACESIM_UPS];
	struct pacesim_alternative alternatives[PACESIM_UPS];
	apr_interval_time_t region_rtt[GEO_MAX_REGIONS];
	uint64_t hash;
	int domain;
	int region;
};

struct model {
	const struct pacesim_load *load;
	enum pacesim_rule rule;
	struct pacesim_result *out;
	apr_pool_t *pool;
	struct geo geo;
	struct routing_route route;
	struct routing_service limits;
	struct vm *vms;
	uint64_t hashes[MAX_VMS];
	struct upstream ups[PACESIM_UPS];
	struct evqueue agenda;
	apr_time_t now;
	uint64_t draws;
	int err;
};

/* Requests per second by region; the first has a tenth of the upstreams. */
static const double rates[REGIONS] = {520, 380, 378};
static const int ups_of[REGIONS] = {24, 105, 105};

static double draw(struct model *m)
{
	return place_draw(m->load->seed, &m->draws);
}

static void schedule(struct model *m, apr_time_t at, enum event_kind kind,
		     struct place_request *r)
{
	const struct evqueue_event event = {
		.at = at,
		.kind = (int)kind,
		.place = r,
	};

	if (evqueue_post(&m->agenda, event))
		m->err = PST_ERR_NOMEM;
}

static struct place_request *new_request(struct model *m)
{
	struct place_request *r = apr_pcalloc(m->pool, sizeof(*r));

	if (!r)
		m->err = PST_ERR_NOMEM;
	return r;
}

static apr_interval_time_t delay_of(const struct place_request *r,
				    const struct upstream *up)
{
	return up->domain % REGIONS == r->region ? CLK_MS(1) : CLK_MS(55);
}

static double cold_left(const struct model *m, const struct upstream *up)
{
	const double left = 1 - (double)(m->now - RETURN_AT) / PACESIM_COLD_US;

	return up->returns && left > 0 ? left : 0;
}

static void start_run(struct model *m, struct upstream *up,
		      struct place_request *r)
{
	const bool warm = warm_touch(&up->warm, WARM_ROOM, r->object, m->now);
	const double time = RUN_US * (0.85 + 0.3 * draw(m)) *
			    (warm ? WARM_PART : 1) *
			    (1 + (COLD_FACTOR - 1) * cold_left(m, up));

	r->warm = warm;
	up->running++;
	schedule(m, m->now + (apr_interval_time_t)time, EV_RUN_END, r);
}

static void fill_report(const struct upstream *up, struct place_request *r)
{
	r->report = (struct up_load_report){
		.running = (unsigned)up->running,
		.waiting = (unsigned)up->waiting,
		.slots = SLOTS,
	};
}

/* Requests of the last second, with this one. */
static unsigned count_cold_arrival(struct model *m, struct upstream *up)
{
	unsigned n = 0;

	up->recent[up->arrivals++ % RECENT] = m->now;
	for (unsigned i = 0; i < RECENT && i < up->arrivals; i++)
		n += up->recent[i] > m->now - APR_USEC_PER_SEC;
	if (n > m->out->most_per_s)
		m->out->most_per_s = n;
	m->out->over += n > COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
	return n;
}

static void on_upstream_arrival(struct model *m, struct place_request *r)
{
	struct upstream *up = &m->ups[r->up];
	const apr_time_t age = m->now - RETURN_AT;
	const bool is_cold = cold_left(m, up) > 0;
	unsigned recent = 0;

	if (up->returns && age >= 0 && m->now < END_AT)
		m->out->requests[age / PACESIM_BIN_US]++;
	if (is_cold)
		recent = count_cold_arrival(m, up);
	if (up->running < SLOTS && recent <= 2 * COLD_PER_S) {
		start_run(m, up, r);
		return;
	}
	if (up->waiting >= QUEUE || recent > 2 * COLD_PER_S) {
		r->shed = true;
		fill_report(up, r);
		schedule(m, m->now + delay_of(r, up), EV_ANSWER, r);
		return;
	}
	r->next = NULL;
	*up->tail = r;
	up->tail = &r->next;
	up->waiting++;
}

static void on_run_end(struct model *m, struct place_request *r)
{
	struct upstream *up = &m->ups[r->up];
	struct place_request *next = up->head;

	up->running--;
	fill_report(up, r);
	schedule(m, m->now + delay_of(r, up), EV_ANSWER, r);
	if (!next)
		return;
	up->head = next->next;
	if (!up->head)
		up->tail = &up->head;
	up->waiting--;
	start_run(m, up, next);
}

static void next_arrival(struct model *m, int region)
{
	struct place_request *r = new_request(m);

	if (!r)
		return;
	r->region = region;
	schedule(m,
		 m->now + (apr_interval_time_t)(-log(draw(m)) / rates[region] *
						APR_USEC_PER_SEC),
		 EV_ARRIVAL, r);
}

static struct registry_route_stats *run_of(const struct model *m, struct vm *vm)
{
	return registry_route_stats_of(
		&vm->registry,
		registry_find_service(&vm->registry, STR_LIT("s")),
		m->route.name);
}

static void choose(struct model *m, struct vm *vm, struct place_request *r)
{
	struct registry_service *svc =
		registry_find_service(&vm->registry, STR_LIT("s"));
	const struct vmset settled = {
		.hashes = m->hashes,
		.count = (size_t)m->load->vms,
	};
	const struct spillover_rules rules = {
		.geo = &m->geo,
		.own = r->region,
		.vms = (unsigned)m->load->vms / REGIONS,
		.shift_most = 0.15,
	};
	const struct placement_request ask = {
		.svc = svc,
		.run = run_of(m, vm),
		.route = &m->route,
		.limits = &m->limits,
		.geo = &m->geo,
		.domain = vm->domain,
		.region = r->region,
		.object = r->object,
		.bytes = 5000,
		.region_rtt = vm->region_rtt,
		.vms = m->hashes,
		.vm_count = (size_t)m->load->vms,
		.self = vm->hash,
		.vms_version = 1,
		.settled = &settled,
		.cold_overage = m->rule == PACESIM_FIXED ? 0 : COLD_OVERAGE,
		.cold_slack = m->rule == PACESIM_FIXED ? 0 : COLD_SLACK,
		.now = m->now,
	};

	if (m->now >= RETURN_AT && m->rule > PACESIM_FIXED) {
		for (int i = 0; i < PACESIM_UPS; i++) {
			if (m->ups[i].returns && vm->ups[i])
				pacesim_apply(m->rule, &vm->alternatives[i],
					      vm->ups[i], m->now - RETURN_AT,
					      m->now);
		}
	}
	spillover_update(svc, &rules, m->now);
	placement_choose(&ask, &r->pick);
	r->up = -1;
	for (int i = 0; i < PACESIM_UPS && r->pick.up; i++) {
		if (vm->ups[i] == r->pick.up)
			r->up = i;
	}
	if (r->up >= 0)
		placement_spend_pace(&ask, r->pick.up);
}

static void on_arrival(struct model *m, struct place_request *r)
{
	const int per_region = m->load->vms / REGIONS;
	struct vm *vm;

	next_arrival(m, r->region);
	r->vm = r->region + REGIONS * (int)(draw(m) * per_region);
	vm = &m->vms[r->vm];
	r->object = str_hash(STR_LIT("object"), (uint64_t)(draw(m) * OBJECTS));
	r->sent_at = m->now;
	choose(m, vm, r);
	if (m->now >= RETURN_AT && m->now < COUNT_UNTIL) {
		m->out->all_requests++;
		m->out->all_refused += r->up < 0;
	}
	if (r->up < 0)
		return;
	up_note_sent(vm->ups[r->up]);
	schedule(m, m->now + delay_of(r, &m->ups[r->up]), EV_AT_UPSTREAM, r);
}

static void count_answer(const struct model *m, const struct place_request *r)
{
	const bool returned = m->ups[r->up].returns;
	const bool late = !r->shed && m->now - r->sent_at > TARGET;

	if (r->sent_at < RETURN_AT || r->sent_at >= COUNT_UNTIL)
		return;
	m->out->all_late += late;
	m->out->all_refused += r->shed;
	m->out->late += returned && late;
	m->out->late_first += returned && late && !r->warm;
	m->out->refused += returned && r->shed;
}

static void on_answer(struct model *m, struct place_request *r)
{
	struct vm *vm = &m->vms[r->vm];
	struct up *up = vm->ups[r->up];
	const apr_interval_time_t took = m->now - r->sent_at;
	const bool paced =
		m->rule != PACESIM_FIXED && up->pace.reason != PACE_NONE;
	const apr_interval_time_t expected =
		paced && r->pick.slow_after > r->pick.expected
			? r->pick.slow_after
			: r->pick.expected;

	count_answer(m, r);
	up_note_load_report(up, &r->report, m->now);
	up_note_outcome(up, r->shed ? UP_OUTCOME_SHED : UP_OUTCOME_OK, took,
			expected, m->now);
	pacesim_note(m->rule, &vm->alternatives[r->up], r->shed, took, &r->pick,
		     &r->report);
	if (r->shed)
		return;
	up_note_answer_time(up, took, r->pick.slow_after, m->now);
	up_note_object(up, r->object, m->now);
	registry_note_run(up->svc, run_of(m, vm), 0,
			  took - 2 * delay_of(r, &m->ups[r->up]), r->pick.wait,
			  m->now);
}

/* Lists an upstream at a VM, or updates what is left of its cold start. */
static void list(struct model *m, struct vm *vm, int i)
{
	const apr_interval_time_t left =
		(apr_interval_time_t)(cold_left(m, &m->ups[i]) *
				      PACESIM_COLD_US);
	char id[16];
	struct registry_entry entry = {
		.service = STR_LIT("s"),
		.domain = strbuf_str(&m->geo.domains[m->ups[i].domain]),
		.slots = SLOTS,
		.state = UP_READY,
		.cold_for = m->now >= RETURN_AT ? left : 0,
		.revision = (uint64_t)m->now,
	};

	snprintf(id, sizeof(id), "u%d", i);
	entry.id = str_from_c(id);
	if (registry_put(&vm->registry, &entry, m->now) < 0)
		m->err = PST_ERR_NOMEM;
	vm->ups[i] = registry_find(&vm->registry, entry.id);
}

static void on_update(struct model *m, struct place_request *r)
{
	list(m, &m->vms[r->vm], r->up);
	if (cold_left(m, &m->ups[r->up]) > 0)
		schedule(m, m->now + UPDATE_US, EV_UPDATE, r);
}

static void build_vm(struct model *m, int v)
{
	struct vm *vm = &m->vms[v];

	vm->region = v % REGIONS;
	vm->domain = v % DOMAINS;
	vm->hash = m->hashes[v] = str_hash(STR_LIT("vm"), (uint64_t)v + 1);
	registry_init(&vm->registry, m->pool, &m->geo);
	for (int r = 0; r < REGIONS; r++)
		vm->region_rtt[r] = r == vm->region ? CLK_MS(2) : CLK_MS(110);
	for (int i = 0; i < PACESIM_UPS; i++) {
		struct place_request *r;

		vm->alternatives[i].level = PACESIM_FIRST_LEVEL;
		if (!m->ups[i].returns) {
			list(m, vm, i);
			continue;
		}
		r = new_request(m);
		if (!r)
			return;
		r->vm = v;
		r->up = i;
		schedule(m,
			 RETURN_AT +
				 (apr_interval_time_t)(draw(m) * LIST_DELAY),
			 EV_UPDATE, r);
	}
}

static void build(struct model *m)
{
	static const struct str pairs[] = {
		STR_LIT("a1=a"), STR_LIT("b1=b"), STR_LIT("c1=c"),
		STR_LIT("a2=a"), STR_LIT("b2=b"), STR_LIT("c2=c"),
	};
	int next = 0;

	geo_parse(&m->geo, pairs, sizeof(pairs) / sizeof(pairs[0]));
	m->route = (struct routing_route){
		.name = STR_LIT("route"),
		.sticky = true,
		.target_latency = TARGET,
		.max_attempts = 2,
	};
	m->limits = (struct routing_service){
		.cold_per_s = COLD_PER_S,
		.cold_for = PACESIM_COLD_US,
	};
	for (int r = 0; r < REGIONS; r++) {
		for (int i = 0; i < ups_of[r]; i++) {
			struct upstream *up = &m->ups[next++];

			up->domain = r + REGIONS * (i % 2);
			up->tail = &up->head;
		}
	}
	/* Spread over all regions, others for each seed. */
	for (int k = 0; k < m->load->returning; k++)
		m->ups[((uint64_t)k * PACESIM_UPS / m->load->returning +
			m->load->seed * 37) %
		       PACESIM_UPS]
			.returns = true;
	for (int v = 0; v < m->load->vms; v++)
		build_vm(m, v);
}

static void handle_event(struct model *m)
{
	const struct evqueue_event event = evqueue_take(&m->agenda);

	m->now = event.at;
	switch ((enum event_kind)event.kind) {
	case EV_ARRIVAL:
		if (m->now < END_AT)
			on_arrival(m, event.place);
		return;
	case EV_AT_UPSTREAM:
		on_upstream_arrival(m, event.place);
		return;
	case EV_RUN_END:
		on_run_end(m, event.place);
		return;
	case EV_ANSWER:
		on_answer(m, event.place);
		return;
	case EV_UPDATE:
		on_update(m, event.place);
		return;
	}
}

int pacesim_run(const struct pacesim_load *load, enum pacesim_rule rule,
		struct pacesim_result *out)
{
	struct model *m = calloc(1, sizeof(*m));
	int err;

	if (!m)
		return PST_ERR_NOMEM;
	m->vms = calloc((size_t)load->vms, sizeof(*m->vms));
	if (!m->vms) {
		free(m);
		return PST_ERR_NOMEM;
	}
	apr_initialize();
	apr_pool_create(&m->pool, NULL);
	m->load = load;
	m->rule = rule;
	m->out = out;
	m->now = CLOCK_START;
	build(m);
	for (int r = 0; r < REGIONS; r++)
		next_arrival(m, r);
	while (m->agenda.count && !m->err)
		handle_event(m);
	for (int v = 0; v < load->vms; v++)
		registry_done(&m->vms[v].registry);
	apr_pool_destroy(m->pool);
	err = m->err;
	evqueue_free(&m->agenda);
	free(m->vms);
	free(m);
	return err;
}
