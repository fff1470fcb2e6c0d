/*
 * Clock interface, so that tests control the time.
 *
 * Times are apr_time_t in microseconds on a monotonic scale that is only
 * meaningful inside one process; they are never compared between VMs.
 */
#ifndef COMMON_CLK_H
#define COMMON_CLK_H

#include <apr_time.h>

struct clk {
	apr_time_t (*now)(const struct clk *clk);
};

/* A clock that moves only when told to, for tests. */
struct clk_manual {
	struct clk base;
	apr_time_t at;
};

#define CLK_MS(ms) ((apr_interval_time_t)(ms)*1000)
#define CLK_SEC(s) ((apr_interval_time_t)(s)*1000000)

/* The system's monotonic clock (CLOCK_BOOTTIME). */
const struct clk *clk_system(void);

void clk_manual_init(struct clk_manual *clk, apr_time_t at);
void clk_manual_advance(struct clk_manual *clk, apr_interval_time_t by);

apr_time_t clk_now(const struct clk *clk);

#endif
