/*
 * What the model of slots draws at random: times, entry VMs and, by the split
 * that the product's entry VMs aim at, failure domains.
 */
#ifndef FAKES_SLOT_DRAW_H
#define FAKES_SLOT_DRAW_H

#include <apr_time.h>

#include "fakes/slot_model.h"

#define SLOT_MODEL_PER_REGION (SLOT_MODEL_ENTRIES / SLOT_MODEL_REGIONS)
#define SLOT_MODEL_PER_DOMAIN (SLOT_MODEL_ENTRIES / SLOT_MODEL_DOMAINS)

struct slot_draw {
	uint64_t state;
	bool fixed_times;
	uint32_t entries_lost;
	/* Parts of all slots. */
	double region[SLOT_MODEL_REGIONS];
	/* Split of the entry VMs of each domain. */
	double goal[SLOT_MODEL_DOMAINS][SLOT_MODEL_DOMAINS];
};

int slot_draw_region_of(int domain);
int slot_draw_domain_of(int entry);

/* slots: by failure domain. Returns 0 or PST_ERR_NOMEM. */
int slot_draw_init(struct slot_draw *draw, const struct slot_model_cfg *cfg,
		   const uint32_t slots[SLOT_MODEL_DOMAINS]);

uint64_t slot_draw_random(struct slot_draw *draw);
double slot_draw_exponential(struct slot_draw *draw, double mean);

/* Time in a slot, at least 1 us. */
apr_interval_time_t slot_draw_service(struct slot_draw *draw,
				      apr_interval_time_t mean);

/* The entry VM that a request reaches. */
uint16_t slot_draw_entry(struct slot_draw *draw);

/* The failure domain that an entry VM sends it to. */
uint16_t slot_draw_domain(struct slot_draw *draw, int entry);

#endif
