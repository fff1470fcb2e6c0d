/*
 * Enforces this process's parts of link rates (bytes a second) and of region
 * limits (requests a second), and picks failure domains.
 *
 * One thread reports demand to the VM's pst-controld and borrows parts from it.
 * A part is valid for a bounded time; after it expires nothing more may be
 * taken. Thread-safe, never blocks.
 */
#ifndef AGENT_QUOTA_H
#define AGENT_QUOTA_H

#include "agent/ctl.h"

struct quota_agent;

/*
 * set, clk and ctl must outlive the agent. Returns 0, PST_ERR_NOMEM,
 * PST_ERR_THREAD, or an error of the address or the RPC client.
 */
int quota_agent_start(struct quota_agent **out, const struct settings *set,
		      const struct clk *clk, struct ctl_agent *ctl);
void quota_agent_stop(struct quota_agent *agent);

/*
 * Takes up to want bytes of the link between two regions (by index in the
 * table) and returns how many may be sent now, possibly 0. Returns want within
 * one region. Higher ranks are served first.
 */
size_t quota_take_bytes(struct quota_agent *agent, uint32_t from, uint32_t to,
			enum rank rank, size_t want);

/*
 * Gives back bytes that were taken at taken_at, by the agent's clock, and will
 * not be sent. For bytes from several calls, taken_at is the time of the first.
 * Bytes taken more than one second ago count as sent.
 */
void quota_return_taken(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes, apr_time_t taken_at);

/*
 * Counts one request of the row that this VM sends to region. Returns false
 * when the region's limit on requests from other regions is used up for now.
 */
bool quota_take_request(struct quota_agent *agent, const struct tbl_row *row,
			uint32_t region);

/*
 * Picks the failure domain for a request of the row by the split in force,
 * which follows the table's weights no faster than the shift cap. skip marks
 * domains (one bool each) already tried. Returns an index in tbl, or -1 when
 * every domain is skipped or has no weight, the shift cap allows no further
 * redirection, or the splits aren't known yet.
 */
int quota_pick_domain(struct quota_agent *agent, const struct tbl *tbl,
		      const struct tbl_row *row, uint64_t random,
		      const bool *skip);

#endif
