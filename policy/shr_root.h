/*
 * Who owns a failure domain's part of every limit.
 *
 * The store keeps one record for each failure domain that names the holder:
 * a process of a VM. It changes by compare-and-swap and does not lapse, so a
 * holder needs no call to the store to go on, also while the store is down.
 * Another VM takes over only with evidence that the holder has stopped:
 * its own word, a refused connection, another process at its place, or a
 * long absence from the list of VMs while it is silent. It then waits until
 * what the holder had lent is certainly out of use. A holder that finds a
 * gap in its own time owns nothing until the store has confirmed its record.
 *
 * This is a state machine: it says what to do next, and is told the result.
 */
#ifndef POLICY_SHR_ROOT_H
#define POLICY_SHR_ROOT_H

#include <stdbool.h>

#include <apr_time.h>

#include "common/str.h"

/* Longest time between two steps that is not taken for a pause. */
#define SHR_PAUSE_MAX (2 * APR_USEC_PER_SEC)

/* Absence from the list of VMs that, with silence, counts as evidence. */
#define SHR_ABSENT_MIN (10 * APR_USEC_PER_SEC)

/* Times between confirmations, and between tries that did not succeed. */
#define SHR_CONFIRM (10 * APR_USEC_PER_SEC)
#define SHR_RETRY   (APR_USEC_PER_SEC / 2)

/* The store's record of a failure domain. */
struct shr_record {
	bool present;
	/* 0 when absent. */
	uint64_t revision;
	struct strbuf holder;
	struct strbuf address;
	struct strbuf region;
	uint64_t incarnation;
};

enum shr_phase {
	/* Not wanted by this VM. */
	SHR_IDLE,
	/* The record is to be read. */
	SHR_READING,
	/* Another process is named; evidence is gathered. */
	SHR_ASKING,
	/* Evidence is complete, or no holder was ever named. */
	SHR_CLAIMING,
	SHR_HOLDING,
	/* Named, but paused: to be confirmed. */
	SHR_SUSPENDED,
};

enum shr_action {
	SHR_DO_NOTHING,
	SHR_DO_READ,
	/* Ask the named holder about its record's revision. */
	SHR_DO_ASK,
	SHR_DO_SWAP,
};

/* What the holder's place answered. */
enum shr_reply {
	SHR_REPLY_HOLDS,
	/* Does not hold and never will under this record. */
	SHR_REPLY_NOT,
	/* No process listens, or a later one does. */
	SHR_REPLY_GONE,
	SHR_REPLY_SILENT,
};

struct shr_root {
	struct strbuf domain;
	struct strbuf self;
	uint64_t incarnation;
	/* Time after which nothing lent by a stopped holder is in use. */
	apr_interval_time_t rest;
	enum shr_phase state;
	/* Result of an action is awaited. */
	bool busy;
	/* That result began before a pause and says nothing. */
	bool discard;
	struct shr_record record;
	/* Never to be held at this revision or an earlier one. */
	uint64_t barred;
	apr_time_t last_step;
	apr_time_t due_at;
	/* Every reply since has been evidence that it stopped; 0: none. */
	apr_time_t gone_since;
	apr_interval_time_t holder_absent;
};

/* What the view of this VM says about the failure domain. */
struct shr_view {
	/* This VM is the one to hold the domain's part. */
	bool candidate;
	/* This VM is on the list and not leaving. */
	bool listed;
	/* Time that the named holder has been absent from the list. */
	apr_interval_time_t holder_absent;
};

void shr_root_init(struct shr_root *root, struct str domain, struct str self,
		   uint64_t incarnation, apr_interval_time_t loan,
		   apr_time_t now);

/* Moves on in time and says what to do now; at least every 100 ms. */
enum shr_action shr_root_step(struct shr_root *root, apr_time_t now,
			      const struct shr_view *view);

/* Results of SHR_DO_READ: err 0 with the record, or any error. */
void shr_root_read(struct shr_root *root, apr_time_t now, int err,
		   const struct shr_record *record);

/* Result of SHR_DO_ASK; rest goes with SHR_REPLY_NOT. */
void shr_root_asked(struct shr_root *root, apr_time_t now, enum shr_reply reply,
		    apr_interval_time_t rest);

/* Result of SHR_DO_SWAP: err as of stc_swap(). */
void shr_root_swapped(struct shr_root *root, apr_time_t now, int err,
		      uint64_t revision);

/*
 * Another VM asks about the record of this revision. Returns whether this
 * one holds it; if not, it never will.
 */
bool shr_root_asks(struct shr_root *root, apr_time_t now, uint64_t revision,
		   const struct shr_view *view);

/* Whether the part may be lent from now; false during a suspected pause. */
bool shr_root_valid(const struct shr_root *root, apr_time_t now);

const char *shr_phase_name(enum shr_phase state);

#endif
