/*
 * Permits for the slots of upstreams: entry VM to broker (program 0x20505303)
 * and broker to entry VM (program 0x20505304). Every message is one-way.
 */

%#include "schema/gen/common.h"

const PMT_PROG_BROKER = 0x20505303;
const PMT_PROG_ENTRY = 0x20505304;
const PMT_VERS = 1;
const PMT_PROC_BATCH = 1;
const PMT_PROC_ANSWERS = 1;

/* Bounds of one message. */
const PMT_PARTS_MAX = 4096;
const PMT_ITEMS_MAX = 16384;

struct pmt_ask {
	unsigned hyper id;
	unsigned int rank;
	/* Time left until the deadline, in microseconds. */
	unsigned hyper left_us;
};

struct pmt_release {
	unsigned hyper permit;
	unsigned int outcome;
};

struct pmt_held {
	unsigned hyper permit;
	unsigned hyper ask;
	unsigned int rank;
	/* Time since it was granted, in microseconds. */
	unsigned hyper age_us;
	pst_id upstream;
};

struct pmt_report {
	pst_id upstream;
	unsigned int load_permille;
	bool draining;
	bool cold;
};

/* Messages to the broker of one service in one failure domain. */
struct pmt_part {
	pst_id service;
	pst_id domain;
	pmt_ask asks<PMT_ITEMS_MAX>;
	unsigned hyper cancels<PMT_ITEMS_MAX>;
	pmt_release releases<PMT_ITEMS_MAX>;
	pmt_report reports<PMT_ITEMS_MAX>;
	/* The held list is complete, except for grants numbered above seen. */
	bool full;
	unsigned hyper seen;
	pmt_held held<PMT_ITEMS_MAX>;
};

struct pmt_batch {
	pst_id entry;
	pst_id region;
	unsigned hyper incarnation;
	/* Number of the batch to this broker's VM, from 1. */
	unsigned hyper seq;
	/* Highest seq of the answers received from this broker's VM. */
	unsigned hyper heard;
	/* Round-trip time to the broker, in microseconds; 0 if unknown. */
	unsigned hyper round_trip_us;
	/* Requests an answer message, which may be empty. */
	bool ping;
	pmt_part parts<PMT_PARTS_MAX>;
};

struct pmt_answer {
	pst_id service;
	pst_id domain;
	unsigned hyper ask;
	unsigned int result;
	unsigned hyper permit;
	/* Number of the grant by this broker to this entry VM, from 1. */
	unsigned hyper grant;
	pst_id upstream;
	pst_id address;
	unsigned int port;
	unsigned int retry_ms;
};

/* Requests the complete list of the permits held for these upstreams. */
struct pmt_query {
	pst_id service;
	pst_id domain;
};

struct pmt_answers {
	pst_id broker;
	unsigned hyper incarnation;
	/* Incarnation of the entry process that is addressed; 0 for any. */
	unsigned hyper entry_incarnation;
	/* Number of the message to this entry VM, from 1. */
	unsigned hyper seq;
	/* A batch was lost; the entry VM sends its complete state again. */
	bool resync;
	pmt_answer answers<PMT_ITEMS_MAX>;
	pmt_query queries<PMT_PARTS_MAX>;
};
