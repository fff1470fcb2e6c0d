/*
 * This VM's parts of the limits, kept current by the VM's pst-controld.
 *
 * One thread draws parts of link rates (bytes a second) and of region limits
 * (requests a second) and reports demand. A part is valid for a bounded
 * time; when it lapses nothing more may be taken. Thread-safe, never blocks.
 */
#ifndef AGENT_QUOTA_H
#define AGENT_QUOTA_H

#include "agent/ctl.h"

struct quota_agent;

/* Borrows set, clk and ctl. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int quota_agent_start(struct quota_agent **out, const struct settings *set,
		      const struct clk *clk, struct ctl_agent *ctl);
void quota_agent_stop(struct quota_agent *agent);

/*
 * Takes up to want bytes of the link between two regions (by index in the
 * table) and returns how many may be sent now, possibly 0. Within one region
 * the answer is want. Urgent bytes are served before others.
 */
size_t quota_take_bytes(struct quota_agent *agent, uint32_t from, uint32_t to,
			enum rank rank, size_t want);

/*
 * Returns bytes that were taken at taken_at, by the agent's clock, and will
 * not be sent. For bytes of several takes it is the time of the first. After
 * one second they count as sent.
 */
void quota_return_taken(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes, apr_time_t taken_at);

/*
 * Takes one request of the row into region from another region. Returns
 * false when the limit leaves no room now.
 */
bool quota_take_request(struct quota_agent *agent, const struct tbl_row *row,
			uint32_t region);

/*
 * Picks the failure domain for a request of the row: the split in force,
 * which follows the table's weights no faster than the shift cap. skip marks
 * domains (one bool each) already tried. Returns an index, or -1 when every
 * domain is skipped or has no weight.
 */
int quota_pick_domain(struct quota_agent *agent, const struct tbl *tbl,
		      const struct tbl_row *row, uint64_t random,
		      const bool *skip);

#endif
