#include "fakes/pace_rules.h"

#include "common/clk.h"

/* Steps of the rules by responses. */
#define AIMD_STEP	  0.1
#define AIMD_FACTOR	  0.5
#define GRADIENT_HEADROOM 0.1
#define DELAY_TARGET_US	  80000.0
#define DELAY_STEP	  0.1
#define DELAY_WEIGHT	  0.1
#define QUEUE_TIME_US	  20000.0
#define QUEUE_TIME_FACTOR 0.95
#define QUEUE_TIME_STEP	  0.01
/* Time over which the share rises in proportion to time. */
#define LINEAR_US (1.5 * PACESIM_COLD_US)

const char *pacesim_rule_name(enum pacesim_rule rule)
{
	static const char *const names[] = {
		[PACESIM_OWN] = "own",
		[PACESIM_FIXED] = "fixed",
		[PACESIM_LINEAR] = "linear",
		[PACESIM_AIMD] = "aimd",
		[PACESIM_GRADIENT] = "gradient",
		[PACESIM_QUEUE_DELAY] = "queue_delay",
		[PACESIM_QUEUE_TIME] = "queue_time",
	};

	return names[rule];
}

static double clamp(double value, double least, double most)
{
	if (value < least)
		return least;
	return value < most ? value : most;
}

/* Queueing delay by the report of an answer. */
static double queue_delay(const struct placement_pick *pick,
			  const struct up_load_report *report)
{
	return (double)report->waiting * (double)pick->queue_step;
}

void pacesim_note(enum pacesim_rule rule, struct pacesim_alternative *state,
		  bool shed, apr_interval_time_t took,
		  const struct placement_pick *pick,
		  const struct up_load_report *report)
{
	const bool slow = shed || took > pick->slow_after;
	const double delay = queue_delay(pick, report);
	double level = state->level;

	switch (rule) {
	case PACESIM_OWN:
	case PACESIM_FIXED:
	case PACESIM_LINEAR:
		return;
	case PACESIM_AIMD:
		level = slow ? level * AIMD_FACTOR : level + AIMD_STEP;
		break;
	case PACESIM_GRADIENT:
		level = level * (shed ? 0.5
				      : clamp((double)pick->slow_after /
						      (double)took,
					      0.5, 1)) +
			GRADIENT_HEADROOM;
		break;
	case PACESIM_QUEUE_DELAY:
		level = !shed && delay < DELAY_TARGET_US
				? level + DELAY_STEP
				: level * clamp(1 - DELAY_WEIGHT *
								(delay / DELAY_TARGET_US -
								 1),
						0.5, 1);
		break;
	case PACESIM_QUEUE_TIME:
		level = shed || delay > QUEUE_TIME_US
				? level * QUEUE_TIME_FACTOR
				: level + QUEUE_TIME_STEP;
		break;
	}
	state->level = clamp(level, PACESIM_LEAST_LEVEL, 1);
}

void pacesim_apply(enum pacesim_rule rule,
		   const struct pacesim_alternative *state, struct up *up,
		   apr_interval_time_t age, apr_time_t now)
{
	const double level =
		rule == PACESIM_LINEAR
			? clamp((double)age / LINEAR_US, PACESIM_LEAST_LEVEL, 1)
			: state->level;

	up->pace.reason = level < 1 ? PACE_STARTED : PACE_NONE;
	up->pace.level = level;
	up->pace.cold_level = 1;
	up->pace.trouble = 0;
	up->pace.doubling = CLK_SEC(1);
	/* It changes by the rule alone. */
	up->pace.level_at = now + CLK_SEC(1);
}

double pacesim_share(const struct pacesim_result *result)
{
	const int last = 8;
	double share = 0;

	for (int i = PACESIM_BINS - last; i < PACESIM_BINS; i++)
		share += result->requests[i] / (double)last;
	return share;
}

apr_interval_time_t pacesim_time_to_share(const struct pacesim_result *result,
					  double share)
{
	for (int i = 1; i < PACESIM_BINS; i++) {
		if (result->requests[i - 1] + result->requests[i] >=
		    2 * 0.9 * share)
			return (i + 1) * (apr_interval_time_t)PACESIM_BIN_US;
	}
	return PACESIM_BINS * (apr_interval_time_t)PACESIM_BIN_US;
}
