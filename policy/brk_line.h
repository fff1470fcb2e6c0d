/*
 * Shares a broker's slots among the ranks: who is next, what is kept free
 * for more urgent work, and how long an ask would wait.
 *
 * Each rank keeps its reserved part while it has work. What a rank does not
 * use of it goes to the others, most urgent first. Work in a slot cannot be
 * interrupted, so a few slots are kept free for the demand seen of a more
 * urgent rank when the work below it is long.
 */
#ifndef POLICY_BRK_LINE_H
#define POLICY_BRK_LINE_H

#include <apr_time.h>

#include "policy/tbl.h"

/* Answer of brk_line_next() when no rank may take a slot. */
#define BRK_LINE_NONE (-1)

/* One rank's use of the slots; times are in microseconds. */
struct brk_use {
	uint32_t reserved_pct;
	uint32_t waiting;
	/* Slots, as far as its permits count. */
	double held;
	/* Slots kept for the rank at the present capacity. */
	double reserved;
	/* Slot-microseconds by which the rank is behind its reserved part. */
	double credit;
	/* Average of held and waiting over DEMAND_TIME. */
	double demand;
	/* Asks that got a slot, per microsecond, over DEMAND_TIME. */
	double rate;
	/* Time for which a slot is used: mean, and mean deviation. */
	double mean;
	double deviation;
	uint32_t samples;
	apr_time_t last_ask;
	/* Earliest start of the next request, where starts are spread. */
	double next_start;
};

struct brk_line {
	struct brk_use use[RANK_COUNT];
	uint32_t capacity;
	apr_time_t at;
};

void brk_line_init(struct brk_line *line, apr_time_t now);

/* Reserved parts in percent; together at most 100, the rest is cut off. */
void brk_line_reserve(struct brk_line *line, const uint32_t pct[RANK_COUNT]);

/* Moves averages to now; called before each change of held or waiting. */
void brk_line_advance(struct brk_line *line, uint32_t capacity, apr_time_t now);

/*
 * The rank, from first on, whose first ask takes one of the free slots, or
 * BRK_LINE_NONE. *reserve tells whether it is owed to the reserved part.
 */
int brk_line_next(const struct brk_line *line, enum rank first, double free,
		  bool *reserve);

/* Notes that an ask of the rank has left the line for a slot. */
void brk_line_granted(struct brk_line *line, enum rank rank);

/* Takes in how long a slot was held for a finished request. */
void brk_line_sample(struct brk_line *line, enum rank rank,
		     apr_interval_time_t held);

/* Time that an ask at the end of the rank's line would wait. */
apr_interval_time_t brk_line_wait(const struct brk_line *line, enum rank rank);

/*
 * Time to keep for the request itself and its messages, out of what is left.
 */
apr_interval_time_t brk_line_need(const struct brk_line *line, enum rank rank,
				  apr_interval_time_t messages,
				  apr_interval_time_t left);

#endif
