#include <stdio.h>

#include "common/clk.h"
#include "common/err.h"
#include "fakes/slot_state.h"

static int make_upstreams(struct slot_state *m)
{
	uint32_t slots[SLOT_MODEL_DOMAINS] = {0};

	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		struct slot_upstream *up = &m->ups[i];
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

/*
 * Creates a broker. With several holders, each gets its share of the slots;
 * holders is 1 for the broker of a whole domain.
 */
static int make_granter(struct slot_state *m, struct slot_granter *g,
			int domain, uint32_t holders, uint32_t holder)
{
	const struct broker_cfg cfg = {
		.up = {.ramp = CLK_SEC(10),
		       .ramp_start_pct = 25,
		       .shed_hold = CLK_MS(100),
		       .silent_hold = CLK_MS(500),
		       .drain_hold = CLK_SEC(10),
		       .ignore_time_ratio = m->cfg.ignore_time_ratio},
		.permit_ttl = SLOT_SETTLE_TIME * 100,
		.queue_max = 100000,
		.epoch = (uint32_t)domain + 1,
	};
	const struct broker_sink sink = {.answer = m->answer, .ctx = g};
	struct broker_listed_vm vms[SLOT_MODEL_UPSTREAMS];
	uint32_t pct[RANK_COUNT];
	uint32_t first = 0;
	uint32_t sum = 0;
	size_t count = 0;

	for (int i = 0; i < SLOT_MODEL_UPSTREAMS; i++) {
		const struct slot_upstream *up = &m->ups[i];

		if (up->domain != domain)
			continue;
		vms[count] = (struct broker_listed_vm){
			.name = up->name,
			.slots = pick_slot_share(first, up->slots, holders,
						 holder),
		};
		first += up->slots;
		sum += vms[count++].slots;
	}
	if (!sum)
		vms[holder % count].slots = 1;
	for (int r = 0; r < RANK_COUNT; r++)
		pct[r] = m->cfg.rank[r].reserved_pct;
	g->m = m;
	if (broker_create(&g->broker, &cfg, sink, 0))
		return PST_ERR_NOMEM;
	broker_set_reserves(g->broker, pct, 0);
	return broker_set_upstreams(g->broker, vms, count, 0);
}

static int make_granters(struct slot_state *m)
{
	const int per_region = SLOT_MODEL_PER_REGION;
	int err = 0;

	for (int d = 0; d < SLOT_MODEL_DOMAINS && !err; d++) {
		if (m->cfg.policy == PICK_BROKER)
			err = make_granter(m, &m->brokers[d], d, 1, 0);
		for (int e = 0; e < per_region && !err; e++) {
			const int entry =
				slot_draw_region_of(d) * per_region + e;
			struct slot_granter *g = &m->locals[entry][d];

			g->local = true;
			if (m->cfg.policy == PICK_STATIC_SPLIT)
				err = make_granter(m, g, d,
						   (uint32_t)per_region,
						   (uint32_t)e);
		}
	}
	return err;
}

int slot_make(struct slot_state *m)
{
	const int err = make_upstreams(m);

	return err ? err : make_granters(m);
}
