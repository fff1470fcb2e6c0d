/*
 * A discrete-event simulation of upstreams that return cold, among others that
 * are warm, with the code of policy/ and a simulated clock: how fast they get
 * their share again, and what it costs.
 */
#ifndef FAKES_PACE_MODEL_H
#define FAKES_PACE_MODEL_H

#include <stdint.h>

#include <apr_time.h>

/* How the share of an upstream rises that has returned. */
enum pacesim_rule {
	/* policy/pace with a stated bound. */
	PACESIM_OWN,
	/* policy/pace without one: two VMs at a fixed rate, then all at once.
	 */
	PACESIM_FIXED,
	/* In proportion to the time since its return. */
	PACESIM_LINEAR,
	/* Additive increase, multiplicative decrease, by response times. */
	PACESIM_AIMD,
	/* The ratio of the expected run time to the measured one. */
	PACESIM_GRADIENT,
	/* Queueing delay against a target, as in Breakwater. */
	PACESIM_QUEUE_DELAY,
	/* Small steps by whether requests queue for 20 ms, as in DAGOR. */
	PACESIM_QUEUE_TIME,
};

#define PACESIM_RULES 7

/* Bins of half a second since the return. */
#define PACESIM_BINS   24
#define PACESIM_BIN_US 500000

/* Duration of the modelled cold start. */
#define PACESIM_COLD_US 3000000

struct pacesim_load {
	int vms;
	/* Upstreams that return, of PACESIM_UPS. */
	int returning;
	uint64_t seed;
};

#define PACESIM_UPS 234

/* Counts of requests to the upstreams that returned, since their return. */
struct pacesim_result {
	unsigned requests[PACESIM_BINS];
	/* Until two cold starts after the return. */
	unsigned late;
	unsigned refused;
	/* Of the late ones, the first runs of objects there. */
	unsigned late_first;
	/* The same, of all requests. */
	unsigned all_requests;
	unsigned all_late;
	unsigned all_refused;
	/* Most requests to one of them in any second of its cold start. */
	unsigned most_per_s;
	/* Times at which a request exceeded the bound. */
	unsigned over;
};

const char *pacesim_rule_name(enum pacesim_rule rule);

/* Adds a run to *out. Returns 0 or PST_ERR_NOMEM. */
int pacesim_run(const struct pacesim_load *load, enum pacesim_rule rule,
		struct pacesim_result *out);

/* Requests in a bin at the full share: the mean of the last four seconds. */
double pacesim_share(const struct pacesim_result *result);

/*
 * Time from the return to 0.9 of a share in requests in a bin, by sums of two
 * bins; PACESIM_BINS bins if it is not reached.
 */
apr_interval_time_t pacesim_time_to_share(const struct pacesim_result *result,
					  double share);

#endif
