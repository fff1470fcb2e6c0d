#include "fakes/slot_model.h"

#include <stdlib.h>

#include "common/clk.h"
#include "common/err.h"
#include "fakes/slot_state.h"

/* Attempts before a request is refused. */
#define ATTEMPTS_MAX  3

#define TICK_INTERVAL CLK_MS(10)

static bool reserve_request(struct slot_state *m)
{
	const size_t capacity = m->request_capacity * 2 + 1024;
	struct slot_request *resized;

	if (m->request_count < m->request_capacity)
		return true;
	resized = realloc(m->requests, capacity * sizeof(*resized));
	if (!resized) {
		m->failed = true;
		return false;
	}
	m->requests = resized;
	m->request_capacity = capacity;
	return true;
}

static void post(struct slot_state *m, struct evqueue_event e)
{
	if (evqueue_post(&m->agenda, e))
		m->failed = true;
}

static apr_interval_time_t hop_time(const struct slot_state *m,
				    const struct slot_request *r)
{
	return slot_draw_domain_of(r->entry) == r->domain ? m->cfg.hop_near
							  : m->cfg.hop_far;
}

static void post_request(struct slot_state *m, apr_interval_time_t after,
			 enum slot_event_kind kind, uint32_t id)
{
	post(m, (struct evqueue_event){.at = m->now + after,
				       .kind = (int)kind,
				       .slot.request = id});
}

/* Records the end of a request as the caller sees it. */
static void finish_for_caller(struct slot_state *m, struct slot_request *r,
			      bool refused)
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
	if (slot_sample_add(&m->samples[r->rank],
			    (uint64_t)(in_time ? took : deadline)))
		m->failed = true;
}

static void refuse(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];

	r->stage = SLOT_ENDED;
	finish_for_caller(m, r, true);
}

static double slow_factor_now(const struct slot_state *m, int upstream)
{
	if (upstream != m->cfg.slow ||
	    m->now % m->cfg.slow_period >= m->cfg.slow_time)
		return 1;
	return m->cfg.slow_factor;
}

static void start(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];

	r->stage = SLOT_RUNNING;
	r->took = (apr_interval_time_t)(r->service *
					slow_factor_now(m, r->upstream));
	m->ups[r->upstream].running++;
	post_request(m, r->took, SLOT_RAN, id);
}

static void at_upstream(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
	struct slot_upstream *up = &m->ups[r->upstream];

	if (up->running < up->slots) {
		start(m, id);
	} else if (up->queued < up->slots * SLOT_QUEUE_PER_SLOT) {
		r->stage = SLOT_QUEUED;
		up->queue[up->queued++] = id;
	} else {
		r->shed = true;
		m->out->sheds++;
		post_request(m, hop_time(m, r), SLOT_AT_ENTRY, id);
	}
}

/* Frees the slot, then starts the next request whose caller still waits. */
static void ran(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
	struct slot_upstream *up = &m->ups[r->upstream];

	up->running--;
	if (m->now >= m->cfg.warmup && m->now < m->cfg.end)
		m->out->rank[r->rank].ran += r->took;
	post_request(m, hop_time(m, r), SLOT_AT_ENTRY, id);
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

static void send_to(struct slot_state *m, uint32_t id, int upstream)
{
	struct slot_request *r = &m->requests[id];

	r->upstream = (int16_t)upstream;
	r->stage = SLOT_GRANTED;
	r->shed = false;
	m->outstanding[r->entry][upstream]++;
	post_request(m, hop_time(m, r), SLOT_AT_UPSTREAM, id);
}

static int find_upstream(const struct slot_state *m, const struct strbuf *name)
{
	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		if (strbuf_eq(&m->ups[i].name, name))
			return i;
	}
	return SLOT_MODEL_NONE;
}

static void on_answer(void *ctx, const struct broker_answer *answer)
{
	struct slot_granter *g = ctx;
	struct slot_state *m = g->m;
	const uint32_t id = (uint32_t)answer->ask;
	struct slot_request *r = &m->requests[id];
	struct evqueue_event e = {
		.at = m->now + (g->local ? 0 : hop_time(m, r)),
		.kind = SLOT_ANSWERED,
		.slot.request = id,
		.slot.permit = answer->permit,
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

static struct slot_granter *granter_of(struct slot_state *m,
				       const struct slot_request *r)
{
	if (m->cfg.policy == PICK_BROKER)
		return &m->brokers[r->domain];
	return &m->locals[r->entry][r->domain];
}

static struct broker_entry *hello(struct slot_state *m,
				  const struct slot_granter *g,
				  const struct slot_request *r)
{
	struct broker_entry *entry = broker_hello(
		g->broker, strbuf_str(&m->entries[r->entry]), 1, m->now);

	if (!g->local)
		broker_set_round_trip(entry, 2 * hop_time(m, r));
	return entry;
}

static void at_broker(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
	const struct slot_granter *g = granter_of(m, r);
	const struct broker_ask ask = {
		.id = id,
		.rank = r->rank,
		.deadline = r->arrived + m->cfg.rank[r->rank].deadline,
	};

	if (!r->answered)
		broker_ask(g->broker, hello(m, g, r), &ask, m->now);
}

static void choose_upstream(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
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

static void ask(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];

	r->stage = SLOT_WAITING;
	if (m->cfg.policy == PICK_BROKER)
		post_request(m, hop_time(m, r), SLOT_AT_BROKER, id);
	else if (m->cfg.policy == PICK_STATIC_SPLIT)
		at_broker(m, id);
	else
		choose_upstream(m, id);
}

static void release(struct slot_state *m, struct slot_request *r,
		    enum permit_outcome outcome)
{
	const bool far = m->cfg.policy == PICK_BROKER;

	if (!r->permit)
		return;
	post(m,
	     (struct evqueue_event){.at = m->now + (far ? hop_time(m, r) : 0),
				    .kind = SLOT_RELEASED,
				    .slot.request = (uint32_t)(r - m->requests),
				    .slot.permit = r->permit,
				    .slot.outcome = outcome});
	r->permit = 0;
}

static void answered(struct slot_state *m, const struct evqueue_event *e)
{
	struct slot_request *r = &m->requests[e->slot.request];

	if (r->upstream == SLOT_MODEL_NONE) {
		refuse(m, e->slot.request);
		return;
	}
	r->permit = e->slot.permit;
	if (r->answered)
		release(m, r, PERMIT_UNUSED);
	else
		send_to(m, e->slot.request, r->upstream);
}

static void at_entry(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
	const bool retry = r->shed && !r->answered;

	m->outstanding[r->entry][r->upstream]--;
	release(m, r, r->shed ? PERMIT_SHED : PERMIT_DONE);
	r->stage = SLOT_ENDED;
	if (!retry)
		finish_for_caller(m, r, false);
	else if (++r->attempts < ATTEMPTS_MAX)
		ask(m, id);
	else
		refuse(m, id);
}

static void given_up(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
	const bool far = m->cfg.policy == PICK_BROKER;

	if (r->answered)
		return;
	finish_for_caller(m, r, false);
	if (r->stage == SLOT_WAITING)
		post_request(m, far ? hop_time(m, r) : 0, SLOT_CANCELLED, id);
}

static void cancelled(struct slot_state *m, uint32_t id)
{
	struct slot_request *r = &m->requests[id];
	const struct slot_granter *g = granter_of(m, r);

	if (g->broker)
		broker_cancel(g->broker, hello(m, g, r), id, m->now);
}

static void released(struct slot_state *m, const struct evqueue_event *e)
{
	struct slot_request *r = &m->requests[e->slot.request];
	const struct slot_granter *g = granter_of(m, r);

	broker_release(g->broker, hello(m, g, r), e->slot.permit,
		       e->slot.outcome, m->now);
}

static void post_arrival(struct slot_state *m, enum rank rank)
{
	const struct slot_model_rank *r = &m->cfg.rank[rank];
	const double rate = r->load * m->slots / r->service;

	if (rate > 0)
		post_request(m,
			     (apr_interval_time_t)slot_draw_exponential(
				     &m->draw, 1 / rate),
			     SLOT_ARRIVE, (uint32_t)rank);
}

static void arrive(struct slot_state *m, enum rank rank)
{
	const struct slot_model_rank *cfg = &m->cfg.rank[rank];
	const uint32_t id = (uint32_t)m->request_count;
	struct slot_request *r;

	if (m->now >= m->cfg.end)
		return;
	post_arrival(m, rank);
	if (!reserve_request(m))
		return;
	r = &m->requests[m->request_count++];
	*r = (struct slot_request){
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

static void report(struct slot_state *m)
{
	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		struct slot_upstream *up = &m->ups[i];

		up->reported =
			i == m->cfg.zero_load_upstream
				? 0
				: 1000 * (up->running + up->queued) / up->slots;
	}
	if (m->now < m->cfg.end)
		post_request(m, m->cfg.report_interval, SLOT_REPORT, 0);
}

static void tick(struct slot_state *m)
{
	for (int i = 0; i < SLOT_MODEL_DOMAINS; i++) {
		if (m->brokers[i].broker)
			broker_tick(m->brokers[i].broker, m->now);
		for (int e = 0; e < SLOT_MODEL_ENTRIES; e++) {
			if (m->locals[e][i].broker)
				broker_tick(m->locals[e][i].broker, m->now);
		}
	}
	if (m->agenda.count)
		post_request(m, TICK_INTERVAL, SLOT_TICKED, 0);
}

static void run_event(struct slot_state *m, const struct evqueue_event *e)
{
	switch ((enum slot_event_kind)e->kind) {
	case SLOT_ARRIVE:
		arrive(m, (enum rank)e->slot.request);
		break;
	case SLOT_AT_BROKER:
		at_broker(m, e->slot.request);
		break;
	case SLOT_ANSWERED:
		answered(m, e);
		break;
	case SLOT_AT_UPSTREAM:
		at_upstream(m, e->slot.request);
		break;
	case SLOT_RAN:
		ran(m, e->slot.request);
		break;
	case SLOT_AT_ENTRY:
		at_entry(m, e->slot.request);
		break;
	case SLOT_RELEASED:
		released(m, e);
		break;
	case SLOT_CANCELLED:
		cancelled(m, e->slot.request);
		break;
	case SLOT_GIVEN_UP:
		given_up(m, e->slot.request);
		break;
	case SLOT_REPORT:
		report(m);
		break;
	case SLOT_TICKED:
		tick(m);
		break;
	}
}

static void count_leaks(struct slot_state *m, const struct slot_granter *g)
{
	struct broker_stats stats;

	if (!g->broker)
		return;
	broker_stats(g->broker, &stats);
	m->out->leaked += stats.held;
}

static void finish(struct slot_state *m)
{
	m->out->capacity =
		(double)m->slots * (double)(m->cfg.end - m->cfg.warmup);
	for (int r = 0; r < RANK_COUNT; r++) {
		struct slot_sample *s = &m->samples[r];

		slot_sample_sort(s);
		m->out->rank[r].p50 = slot_sample_at(s, 0.5);
		m->out->rank[r].p99 = slot_sample_at(s, 0.99);
		m->out->rank[r].p999 = slot_sample_at(s, 0.999);
		slot_sample_done(s);
	}
	for (int d = 0; d < SLOT_MODEL_DOMAINS; d++) {
		count_leaks(m, &m->brokers[d]);
		broker_destroy(m->brokers[d].broker);
		for (int e = 0; e < SLOT_MODEL_ENTRIES; e++) {
			count_leaks(m, &m->locals[e][d]);
			broker_destroy(m->locals[e][d].broker);
		}
	}
	evqueue_free(&m->agenda);
	free(m->requests);
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
	struct slot_state *m = calloc(1, sizeof(*m));
	int err;

	if (!m)
		return PST_ERR_NOMEM;
	*out = (struct slot_model_results){0};
	m->cfg = *cfg;
	m->out = out;
	m->answer = on_answer;
	err = slot_make(m);
	for (int r = 0; r < RANK_COUNT; r++)
		post_arrival(m, (enum rank)r);
	post_request(m, 0, SLOT_REPORT, 0);
	post_request(m, 0, SLOT_TICKED, 0);
	while (!err && !m->failed && m->agenda.count) {
		const struct evqueue_event e = evqueue_take(&m->agenda);

		m->now = e.at;
		if (m->now > m->cfg.end + SLOT_SETTLE_TIME)
			break;
		run_event(m, &e);
	}
	finish(m);
	err = m->failed ? PST_ERR_NOMEM : err;
	free(m);
	return err;
}
