#include "common/clk.h"

#include <time.h>

static apr_time_t system_now(const struct clk *clk)
{
	struct timespec ts;

	(void)clk;
	/* Unlike CLOCK_MONOTONIC it runs on while the VM is suspended. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (apr_time_t)ts.tv_sec * APR_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static apr_time_t manual_now(const struct clk *clk)
{
	return ((const struct clk_manual *)clk)->at;
}

static const struct clk system_clk = {.now = system_now};

const struct clk *clk_system(void)
{
	return &system_clk;
}

void clk_manual_init(struct clk_manual *clk, apr_time_t at)
{
	clk->base.now = manual_now;
	clk->at = at;
}

void clk_manual_advance(struct clk_manual *clk, apr_interval_time_t by)
{
	clk->at += by;
}

apr_time_t clk_now(const struct clk *clk)
{
	return clk->now(clk);
}
