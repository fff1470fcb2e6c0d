#include "fakes/slot_model.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "common/err.h"
#include "fakes/slot_draw.h"
#include "fakes/slot_events.h"

/* Requests queued at an upstream before it sheds, by slot. */
#define QUEUE_PER_SLOT 2
#define QUEUE_MAX      64

/* Upstreams tried before a request is refused. */
#define TRIES_MAX 3

#define TICK	  CLK_MS(10)

/* Time after the end in which everything in progress ends. */
#define SETTLE CLK_SEC(120)

enum stage {
	WAITING,
	GRANTED,
	QUEUED,
	RUNNING,
	ENDED,
};

struct request {
	enum rank rank;
	uint16_t entry;
	uint16_t domain;
	int16_t upstream;
	uint8_t tries;
	uint8_t stage;
	bool answered;
	bool measured;
	bool shed;
	apr_time_t arrived;
	/* Time in a slot of a prompt upstream, and in the one it got. */
	apr_interval_time_t service;
	apr_interval_time_t took;
	uint64_t permit;
};

struct upstream {
	uint16_t domain;
	uint32_t slots;
	uint32_t running;
	uint32_t queue[QUEUE_MAX];
	uint32_t queued;
	uint32_t reported;
	struct strbuf name;
};

struct model;

/* A broker, or the static part of one entry VM. */
struct giver {
	struct model *m;
	struct brk *brk;
	uint16_t entry;
	bool local;
};

struct sample {
	uint64_t *us;
	size_t count;
	size_t room;
};

struct model {
	struct slot_model_cfg cfg;
	struct slot_model_results *out;
	apr_time_t now;
	struct slot_draw draw;
	struct slot_events events;
	struct request *requests;
	size_t request_count;
	size_t request_room;
	struct upstream ups[SLOT_MODEL_UPSTREAMS];
	uint32_t slots;
	struct strbuf entries[SLOT_MODEL_ENTRIES];
	struct giver brokers[SLOT_MODEL_DOMAINS];
	struct giver locals[SLOT_MODEL_ENTRIES][SLOT_MODEL_DOMAINS];
	uint32_t outstanding[SLOT_MODEL_ENTRIES][SLOT_MODEL_UPSTREAMS];
	struct sample samples[RANK_COUNT];
	bool failed;
};

static bool room_for(struct model *m, void **items, size_t count, size_t *room,
		     size_t size)
{
	void *grown;

	if (count < *room)
		return true;
	grown = realloc(*items, (*room * 2 + 1024) * size);
	if (!grown) {
		m->failed = true;
		return false;
	}
	*items = grown;
	*room = *room * 2 + 1024;
	return true;
}

static void post(struct model *m, struct slot_event e)
{
	if (slot_events_post(&m->events, e))
		m->failed = true;
}

static apr_interval_time_t hop(const struct model *m, const struct request *r)
{
	return slot_draw_domain_of(r->entry) == r->domain ? m->cfg.hop_near
							  : m->cfg.hop_far;
}

static void post_request(struct model *m, apr_interval_time_t after,
			 enum slot_event_kind kind, uint32_t id)
{
	post(m, (struct slot_event){
			.at = m->now + after, .kind = kind, .request = id});
}

static void add_sample(struct model *m, enum rank rank, uint64_t us)
{
	struct sample *s = &m->samples[rank];

	if (room_for(m, (void **)&s->us, s->count, &s->room, sizeof(*s->us)))
		s->us[s->count++] = us;
}

/* The caller's side of the end of a request. */
static void end_for_caller(struct model *m, struct request *r, bool refused)
{
	struct slot_model_result *out = &m->out->rank[r->rank];
	const apr_interval_time_t deadline = m->cfg.rank[r->rank].deadline;
	const apr_interval_time_t took = m->now - r->arrived;
	const bool in_time = !refused && took <= deadline;

	if (r->answered)
		return;
	r->answered = true;
	if (in_time && m->now >= m->cfg.warmup && m->now < m->cfg.end)
		out->useful += r->service;
	if (!r->measured)
		return;
	if (in_time)
		out->in_time++;
	else if (refused)
		out->refused++;
	else
		out->late++;
	add_sample(m, r->rank, (uint64_t)(in_time ? took : deadline));
}

static void refuse(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];

	r->stage = ENDED;
	end_for_caller(m, r, true);
}

static double slowness(const struct model *m, int upstream)
{
	if (upstream != m->cfg.slow ||
	    m->now % m->cfg.slow_period >= m->cfg.slow_time)
		return 1;
	return m->cfg.slow_factor;
}

static void start(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];

	r->stage = RUNNING;
	r->took = (apr_interval_time_t)(r->service * slowness(m, r->upstream));
	m->ups[r->upstream].running++;
	post_request(m, r->took, SLOT_RAN, id);
}

static void at_upstream(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	struct upstream *up = &m->ups[r->upstream];

	if (up->running < up->slots) {
		start(m, id);
	} else if (up->queued < up->slots * QUEUE_PER_SLOT) {
		r->stage = QUEUED;
		up->queue[up->queued++] = id;
	} else {
		r->shed = true;
		m->out->sheds++;
		post_request(m, hop(m, r), SLOT_AT_ENTRY, id);
	}
}

/* Takes the next request that its caller still waits for. */
static void ran(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	struct upstream *up = &m->ups[r->upstream];

	up->running--;
	if (m->now >= m->cfg.warmup && m->now < m->cfg.end)
		m->out->rank[r->rank].ran += r->took;
	post_request(m, hop(m, r), SLOT_AT_ENTRY, id);
	while (up->queued && up->running < up->slots) {
		const uint32_t next = up->queue[0];

		up->queued--;
		for (uint32_t i = 0; i < up->queued; i++)
			up->queue[i] = up->queue[i + 1];
		if (m->requests[next].answered)
			post_request(m, 0, SLOT_AT_ENTRY, next);
		else
			start(m, next);
	}
}

static void send_to(struct model *m, uint32_t id, int upstream)
{
	struct request *r = &m->requests[id];

	r->upstream = (int16_t)upstream;
	r->stage = GRANTED;
	r->shed = false;
	m->outstanding[r->entry][upstream]++;
	post_request(m, hop(m, r), SLOT_AT_UPSTREAM, id);
}

static int find_upstream(const struct model *m, const struct strbuf *name)
{
	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		if (strbuf_eq(&m->ups[i].name, name))
			return i;
	}
	return SLOT_MODEL_NONE;
}

static void on_answer(void *ctx, const struct brk_answer *answer)
{
	struct giver *g = ctx;
	struct model *m = g->m;
	const uint32_t id = (uint32_t)answer->ask;
	struct request *r = &m->requests[id];
	struct slot_event e = {
		.at = m->now + (g->local ? 0 : hop(m, r)),
		.kind = SLOT_ANSWERED,
		.request = id,
		.permit = answer->permit,
	};

	if (answer->result == PERMIT_GRANTED) {
		const uint32_t held = answer->up->held;
		const uint32_t slots = answer->up->vm.slots;

		r->upstream = (int16_t)find_upstream(m, &answer->up->vm.name);
		if (held > slots && held - slots > m->out->excess)
			m->out->excess = held - slots;
	} else {
		r->upstream = SLOT_MODEL_NONE;
	}
	post(m, e);
}

static struct giver *giver_of(struct model *m, const struct request *r)
{
	if (m->cfg.policy == PICK_BROKER)
		return &m->brokers[r->domain];
	return &m->locals[r->entry][r->domain];
}

static struct brk_entry *self(struct model *m, const struct giver *g,
			      const struct request *r)
{
	struct brk_entry *entry =
		brk_hello(g->brk, strbuf_str(&m->entries[r->entry]), 1, m->now);

	if (!g->local)
		brk_far(entry, 2 * hop(m, r));
	return entry;
}

static void at_broker(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	const struct giver *g = giver_of(m, r);
	const struct brk_ask ask = {
		.id = id,
		.rank = r->rank,
		.deadline = r->arrived + m->cfg.rank[r->rank].deadline,
	};

	if (!r->answered)
		brk_ask(g->brk, self(m, g, r), &ask, m->now);
}

static void choose_directly(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	struct pick_target targets[SLOT_MODEL_UPSTREAMS];
	int at;

	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++)
		targets[i] = (struct pick_target){
			.usable = m->ups[i].domain == r->domain,
			.outstanding = m->outstanding[r->entry][i],
			.load_permille = m->ups[i].reported,
		};
	at = pick_target(m->cfg.policy, targets, SLOT_MODEL_UPSTREAMS,
			 slot_draw_random(&m->draw));
	send_to(m, id, at);
}

static void ask(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];

	r->stage = WAITING;
	if (m->cfg.policy == PICK_BROKER)
		post_request(m, hop(m, r), SLOT_AT_BROKER, id);
	else if (m->cfg.policy == PICK_STATIC_SPLIT)
		at_broker(m, id);
	else
		choose_directly(m, id);
}

static void release(struct model *m, struct request *r,
		    enum permit_outcome outcome)
{
	const bool far = m->cfg.policy == PICK_BROKER;

	if (!r->permit)
		return;
	post(m, (struct slot_event){.at = m->now + (far ? hop(m, r) : 0),
				    .kind = SLOT_RELEASED,
				    .request = (uint32_t)(r - m->requests),
				    .permit = r->permit,
				    .outcome = outcome});
	r->permit = 0;
}

static void answered(struct model *m, const struct slot_event *e)
{
	struct request *r = &m->requests[e->request];

	if (r->upstream == SLOT_MODEL_NONE) {
		refuse(m, e->request);
		return;
	}
	r->permit = e->permit;
	if (r->answered)
		release(m, r, PERMIT_UNUSED);
	else
		send_to(m, e->request, r->upstream);
}

static void at_entry(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	const bool again = r->shed && !r->answered;

	m->outstanding[r->entry][r->upstream]--;
	release(m, r, r->shed ? PERMIT_SHED : PERMIT_DONE);
	r->stage = ENDED;
	if (!again)
		end_for_caller(m, r, false);
	else if (++r->tries < TRIES_MAX)
		ask(m, id);
	else
		refuse(m, id);
}

static void given_up(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	const bool far = m->cfg.policy == PICK_BROKER;

	if (r->answered)
		return;
	end_for_caller(m, r, false);
	if (r->stage == WAITING)
		post_request(m, far ? hop(m, r) : 0, SLOT_CANCELLED, id);
}

static void cancelled(struct model *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	const struct giver *g = giver_of(m, r);

	if (g->brk)
		brk_cancel(g->brk, self(m, g, r), id, m->now);
}

static void released(struct model *m, const struct slot_event *e)
{
	struct request *r = &m->requests[e->request];
	const struct giver *g = giver_of(m, r);

	brk_release(g->brk, self(m, g, r), e->permit, e->outcome, m->now);
}

static void post_arrival(struct model *m, enum rank rank)
{
	const struct slot_model_rank *r = &m->cfg.rank[rank];
	const double rate = r->load * m->slots / r->service;

	if (rate > 0)
		post_request(m,
			     (apr_interval_time_t)slot_draw_exponential(
				     &m->draw, 1 / rate),
			     SLOT_ARRIVE, (uint32_t)rank);
}

static void arrive(struct model *m, enum rank rank)
{
	const struct slot_model_rank *cfg = &m->cfg.rank[rank];
	const uint32_t id = (uint32_t)m->request_count;
	struct request *r;

	if (m->now >= m->cfg.end)
		return;
	post_arrival(m, rank);
	if (!room_for(m, (void **)&m->requests, m->request_count,
		      &m->request_room, sizeof(*m->requests)))
		return;
	r = &m->requests[m->request_count++];
	*r = (struct request){
		.rank = rank,
		.entry = slot_draw_entry(&m->draw),
		.arrived = m->now,
		.service = slot_draw_service(&m->draw, cfg->service),
		.measured = m->now >= m->cfg.warmup,
	};
	r->domain = slot_draw_domain(&m->draw, r->entry);
	m->out->rank[rank].offered += r->measured;
	post_request(m, cfg->deadline, SLOT_GIVEN_UP, id);
	ask(m, id);
}

static void report(struct model *m)
{
	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		struct upstream *up = &m->ups[i];

		up->reported =
			i == m->cfg.liar
				? 0
				: 1000 * (up->running + up->queued) / up->slots;
	}
	if (m->now < m->cfg.end)
		post_request(m, m->cfg.report_interval, SLOT_REPORT, 0);
}

static void tick(struct model *m)
{
	for (int i = 0; i < SLOT_MODEL_DOMAINS; i++) {
		if (m->brokers[i].brk)
			brk_tick(m->brokers[i].brk, m->now);
		for (int e = 0; e < SLOT_MODEL_ENTRIES; e++) {
			if (m->locals[e][i].brk)
				brk_tick(m->locals[e][i].brk, m->now);
		}
	}
	if (m->events.count)
		post_request(m, TICK, SLOT_TICKED, 0);
}

static void run_event(struct model *m, const struct slot_event *e)
{
	switch (e->kind) {
	case SLOT_ARRIVE:
		arrive(m, (enum rank)e->request);
		break;
	case SLOT_AT_BROKER:
		at_broker(m, e->request);
		break;
	case SLOT_ANSWERED:
		answered(m, e);
		break;
	case SLOT_AT_UPSTREAM:
		at_upstream(m, e->request);
		break;
	case SLOT_RAN:
		ran(m, e->request);
		break;
	case SLOT_AT_ENTRY:
		at_entry(m, e->request);
		break;
	case SLOT_RELEASED:
		released(m, e);
		break;
	case SLOT_CANCELLED:
		cancelled(m, e->request);
		break;
	case SLOT_GIVEN_UP:
		given_up(m, e->request);
		break;
	case SLOT_REPORT:
		report(m);
		break;
	case SLOT_TICKED:
		tick(m);
		break;
	}
}

static int make_upstreams(struct model *m)
{
	uint32_t slots[SLOT_MODEL_DOMAINS] = {0};

	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		struct upstream *up = &m->ups[i];
		char name[16];

		snprintf(name, sizeof(name), "up-%d", i);
		strbuf_set(&up->name, str_from_c(name));
		up->domain = (uint16_t)(i % SLOT_MODEL_DOMAINS);
		up->slots = m->cfg.slots_low + (m->cfg.slots_vary && i % 2);
		m->slots += up->slots;
		slots[up->domain] += up->slots;
	}
	for (int i = 0; i < SLOT_MODEL_ENTRIES; i++) {
		char name[16];

		snprintf(name, sizeof(name), "entry-%d", i);
		strbuf_set(&m->entries[i], str_from_c(name));
	}
	return slot_draw_init(&m->draw, &m->cfg, slots);
}

/* holders is 1 for a broker; else the slots are split among so many. */
static int make_giver(struct model *m, struct giver *g, int domain,
		      uint32_t holders, uint32_t holder)
{
	const struct brk_cfg cfg = {
		.up = {.ramp = CLK_SEC(10),
		       .ramp_start_pct = 25,
		       .shed_hold = CLK_MS(100),
		       .silent_hold = CLK_MS(500),
		       .drain_hold = CLK_SEC(10),
		       .ignore_pace = m->cfg.ignore_pace},
		.permit_ttl = SETTLE * 100,
		.line_max = 100000,
		.epoch = (uint32_t)domain + 1,
	};
	const struct brk_sink sink = {.answer = on_answer, .ctx = g};
	struct brk_listed vms[SLOT_MODEL_UPSTREAMS];
	uint32_t pct[RANK_COUNT];
	uint32_t first = 0;
	uint32_t sum = 0;
	size_t count = 0;

	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		const struct upstream *up = &m->ups[i];

		if (up->domain != domain)
			continue;
		vms[count] = (struct brk_listed){
			.name = up->name,
			.slots = pick_share(first, up->slots, holders, holder),
		};
		first += up->slots;
		sum += vms[count++].slots;
	}
	if (!sum)
		vms[holder % count].slots = 1;
	for (int r = 0; r < RANK_COUNT; r++)
		pct[r] = m->cfg.rank[r].reserved_pct;
	g->m = m;
	if (brk_create(&g->brk, &cfg, sink, 0))
		return PST_ERR_NOMEM;
	brk_set_reserves(g->brk, pct, 0);
	return brk_set_upstreams(g->brk, vms, count, 0);
}

static int make_givers(struct model *m)
{
	const int per_region = SLOT_MODEL_PER_REGION;
	int err = 0;

	for (int d = 0; d < SLOT_MODEL_DOMAINS && !err; d++) {
		if (m->cfg.policy == PICK_BROKER)
			err = make_giver(m, &m->brokers[d], d, 1, 0);
		for (int e = 0; e < per_region && !err; e++) {
			const int entry =
				slot_draw_region_of(d) * per_region + e;
			struct giver *g = &m->locals[entry][d];

			g->local = true;
			if (m->cfg.policy == PICK_STATIC_SPLIT)
				err = make_giver(m, g, d, (uint32_t)per_region,
						 (uint32_t)e);
		}
	}
	return err;
}

static int by_value(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a;
	const uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static uint64_t quantile(const struct sample *s, double q)
{
	return s->count ? s->us[(size_t)((double)(s->count - 1) * q)] : 0;
}

static void count_leaks(struct model *m, const struct giver *g)
{
	struct brk_stats stats;

	if (!g->brk)
		return;
	brk_stats(g->brk, &stats);
	m->out->leaked += stats.held;
}

static void finish(struct model *m)
{
	m->out->capacity =
		(double)m->slots * (double)(m->cfg.end - m->cfg.warmup);
	for (int r = 0; r < RANK_COUNT; r++) {
		struct sample *s = &m->samples[r];

		if (s->count)
			qsort(s->us, s->count, sizeof(*s->us), by_value);
		m->out->rank[r].p50 = quantile(s, 0.5);
		m->out->rank[r].p99 = quantile(s, 0.99);
		m->out->rank[r].p999 = quantile(s, 0.999);
		free(s->us);
	}
	for (int d = 0; d < SLOT_MODEL_DOMAINS; d++) {
		count_leaks(m, &m->brokers[d]);
		brk_destroy(m->brokers[d].brk);
		for (int e = 0; e < SLOT_MODEL_ENTRIES; e++) {
			count_leaks(m, &m->locals[e][d]);
			brk_destroy(m->locals[e][d].brk);
		}
	}
	slot_events_done(&m->events);
	free(m->requests);
}

void slot_model_fund(struct slot_model_cfg *cfg)
{
	*cfg = (struct slot_model_cfg){
		.policy = PICK_BROKER,
		.seed = 1,
		.warmup = CLK_SEC(5),
		.end = CLK_SEC(35),
		.slots_low = 3,
		.slots_vary = true,
		.hop_near = 100,
		.hop_far = 500,
		.region_hop = CLK_MS(55),
		.report_interval = CLK_SEC(1),
		.rank =
			{
				[RANK_URGENT] = {.load = 0.30,
						 .service = CLK_MS(20),
						 .deadline = CLK_SEC(1),
						 .reserved_pct = 50},
				[RANK_NORMAL] = {.load = 0.25,
						 .service = CLK_MS(40),
						 .deadline = CLK_SEC(3),
						 .reserved_pct = 30},
				[RANK_BULK] = {.load = 0.25,
					       .service = CLK_MS(150),
					       .deadline = CLK_SEC(10),
					       .reserved_pct = 20},
			},
		.liar = SLOT_MODEL_NONE,
		.slow = SLOT_MODEL_NONE,
		.slow_factor = 1,
		.slow_period = 1,
	};
}

void slot_model_guild(struct slot_model_cfg *cfg)
{
	slot_model_fund(cfg);
	cfg->slots_vary = false;
	cfg->hop_far = 1500;
	cfg->region_hop = CLK_MS(35);
}

double slot_model_useful(const struct slot_model_results *results)
{
	double sum = 0;

	for (int k = 0; k < RANK_COUNT; k++)
		sum += results->rank[k].useful;
	return sum / results->capacity;
}

int slot_model_run(const struct slot_model_cfg *cfg,
		   struct slot_model_results *out)
{
	struct model *m = calloc(1, sizeof(*m));
	int err;

	if (!m)
		return PST_ERR_NOMEM;
	*out = (struct slot_model_results){0};
	m->cfg = *cfg;
	m->out = out;
	err = make_upstreams(m);
	if (!err)
		err = make_givers(m);
	for (int r = 0; r < RANK_COUNT; r++)
		post_arrival(m, (enum rank)r);
	post_request(m, 0, SLOT_REPORT, 0);
	post_request(m, 0, SLOT_TICKED, 0);
	while (!err && !m->failed && m->events.count) {
		const struct slot_event e = slot_events_take(&m->events);

		m->now = e.at;
		if (m->now > m->cfg.end + SETTLE)
			break;
		run_event(m, &e);
	}
	finish(m);
	err = m->failed ? PST_ERR_NOMEM : err;
	free(m);
	return err;
}
