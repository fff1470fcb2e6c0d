/*
 * Datagrams by which the VMs of a failure domain share load reports of
 * upstreams: lds_x_batch for queues, lds_x_speeds for slow ones.
 */

%#include "schema/gen/common.h"

/*
 * First field of each datagram: datagrams of other senders or versions have
 * another value.
 */
const LDS_X_KIND = 0x70737431;

const LDS_X_MOST = 8;

struct lds_x_report {
	pst_id upstream;
	/* Requests that run or wait at the upstream. */
	unsigned int requests;
	/* Age of the report when the datagram is sent, in microseconds. */
	unsigned int age_us;
};

struct lds_x_batch {
	unsigned int kind;
	lds_x_report reports<LDS_X_MOST>;
};

/* Kind of lds_x_speeds, which earlier versions drop. */
const LDS_X_SPEEDS_KIND = 0x70737351;

struct lds_x_speed {
	pst_id upstream;
	/* Run time in percent of usual. */
	unsigned int percent;
	/* Age of the report when the datagram is sent, in microseconds. */
	unsigned int age_us;
};

struct lds_x_speeds {
	unsigned int kind;
	lds_x_speed speeds<LDS_X_MOST>;
};
