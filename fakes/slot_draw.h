/*
 * Random draws of the slot model: times, entry VMs and, by the target split
 * that the product's entry VMs use, failure domains.
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
	/* Each region's part of all slots. */
	double region[SLOT_MODEL_REGIONS];
	/* Target split of the entry VMs of each domain. */
	double goal[SLOT_MODEL_DOMAINS][SLOT_MODEL_DOMAINS];
};

int slot_draw_region_of(int domain);
int slot_draw_domain_of(int entry);

/* slots is indexed by failure domain. Returns 0 or PST_ERR_NOMEM. */
int slot_draw_init(struct slot_draw *draw, const struct slot_model_cfg *cfg,
		   const uint32_t slots[SLOT_MODEL_DOMAINS]);

uint64_t slot_draw_random(struct slot_draw *draw);
double slot_draw_exponential(struct slot_draw *draw, double mean);

/* Draws the time in a slot, at least 1 us. */
apr_interval_time_t slot_draw_service(struct slot_draw *draw,
				      apr_interval_time_t mean);

/* Draws the entry VM that a request arrives at. */
uint16_t slot_draw_entry(struct slot_draw *draw);

/* Draws the failure domain that the entry VM sends a request to. */
uint16_t slot_draw_domain(struct slot_draw *draw, int entry);

#endif
