/*
 * Ownership of a failure domain's part of every limit. The holder is the root
 * from which that part is lent.
 *
 * The store has one record for each failure domain, which names the holder: a
 * process of a VM. The record changes by compare-and-swap and does not expire,
 * so a holder goes on without calls to the store, also while that is down.
 * Another VM takes over only with evidence that the holder has stopped: the
 * holder's own reply, a refused connection, another process at its address,
 * or a long absence from the list of VMs while it is silent. It then waits
 * until what the holder had lent is certainly no longer in use. A holder that
 * detects a pause of its own process owns nothing until the store has
 * confirmed its record.
 *
 * This is a state machine without I/O: each step returns the next action, and
 * the caller reports the action's result.
 */
#ifndef POLICY_LENDING_ROOT_H
#define POLICY_LENDING_ROOT_H

#include <stdbool.h>

#include <apr_time.h>

#include "common/str.h"

/* A longer time between two steps counts as a pause of the process. */
#define LENDING_PAUSE_MAX (2 * APR_USEC_PER_SEC)

/*
 * Absence from the list of VMs that counts as evidence when the holder is
 * silent as well.
 */
#define LENDING_ABSENT_MIN (10 * APR_USEC_PER_SEC)

/* Times between confirmations, and between an attempt and its retry. */
#define LENDING_CONFIRM_INTERVAL (10 * APR_USEC_PER_SEC)
#define LENDING_RETRY_INTERVAL	 (APR_USEC_PER_SEC / 2)

/* The store's record of a failure domain. */
struct lending_record {
	bool present;
	/* 0 when absent. */
	uint64_t revision;
	struct strbuf holder;
	struct strbuf address;
	struct strbuf region;
	uint64_t incarnation;
};

enum lending_phase {
	/* This VM does not want the record. */
	LENDING_IDLE,
	/* The record is to be read. */
	LENDING_READING,
	/*
	 * The record names another process: that is asked until there is
	 * evidence that it has stopped.
	 */
	LENDING_ASKING,
	/* The holder has stopped, or the record never named one. */
	LENDING_CLAIMING,
	LENDING_HOLDING,
	/* Holder, but after a pause: the store has to confirm the record. */
	LENDING_SUSPENDED,
};

enum lending_action {
	LENDING_DO_NOTHING,
	LENDING_DO_READ,
	/* Ask the named holder whether it holds the record's revision. */
	LENDING_DO_ASK,
	LENDING_DO_SWAP,
};

/* Reply from the holder's address. */
enum lending_reply {
	LENDING_REPLY_HOLDS,
	/* Does not hold, and never will at this revision. */
	LENDING_REPLY_NOT_HELD,
	/* No process listens, or a later one than the holder does. */
	LENDING_REPLY_GONE,
	LENDING_REPLY_SILENT,
};

struct lending_root {
	struct strbuf domain;
	struct strbuf self;
	uint64_t incarnation;
	/* Time from a holder's stop until nothing it lent is in use. */
	apr_interval_time_t expiry_delay;
	enum lending_phase state;
	/* An action's result is outstanding. */
	bool awaiting_result;
	/* That action began before a pause, so its result is ignored. */
	bool discard_result;
	struct lending_record record;
	/* This process never holds this revision or an earlier one. */
	uint64_t barred_revision;
	apr_time_t last_step;
	apr_time_t due_at;
	/*
	 * Time since which every reply was evidence that the holder has
	 * stopped; 0 when the last one was not.
	 */
	apr_time_t stopped_since;
	apr_interval_time_t holder_absent;
};

/* State of the failure domain as this VM sees it. */
struct lending_view {
	/* This VM should hold the domain's part. */
	bool candidate;
	/* This VM is on the list and not leaving. */
	bool listed;
	/* Time for which the named holder has been absent from the list. */
	apr_interval_time_t holder_absent;
};

void lending_root_init(struct lending_root *root, struct str domain,
		       struct str self, uint64_t incarnation,
		       apr_interval_time_t loan, apr_time_t now);

/*
 * Advances the time and returns the next action. To be called at least every
 * 100 ms.
 */
enum lending_action lending_root_step(struct lending_root *root, apr_time_t now,
				      const struct lending_view *view);

/* Result of LENDING_DO_READ: err is 0 with the record, or any error. */
void lending_root_on_read(struct lending_root *root, apr_time_t now, int err,
			  const struct lending_record *record);

/*
 * Result of LENDING_DO_ASK. expiry_delay is the time until nothing that the
 * replier lent is in use; only for a reply that it does not hold.
 */
void lending_root_on_reply(struct lending_root *root, apr_time_t now,
			   enum lending_reply reply,
			   apr_interval_time_t expiry_delay);

/* Result of LENDING_DO_SWAP, with the error of kvclient_swap(). */
void lending_root_on_swap(struct lending_root *root, apr_time_t now, int err,
			  uint64_t revision);

/*
 * Answers another VM that asks whether this process holds the record at this
 * revision. Returning false is final: the process never holds it afterwards.
 */
bool lending_root_on_inquiry(struct lending_root *root, apr_time_t now,
			     uint64_t revision,
			     const struct lending_view *view);

/* Whether the part may be lent now; false after a suspected pause. */
bool lending_root_valid(const struct lending_root *root, apr_time_t now);

const char *lending_phase_name(enum lending_phase state);

#endif
