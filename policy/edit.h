/*
 * Edits of the table: the names of cells, and the steps of a write to the
 * store.
 *
 * This module does no I/O: the caller performs the step in edit.step and
 * passes its result to edit_on_read(), edit_on_swap() or edit_on_read_back().
 * An edit is one compare-and-swap of a part, the head and a record of the
 * edit. The record, under the edit's id, shows after a lost reply whether the
 * swap took effect.
 */
#ifndef POLICY_EDIT_H
#define POLICY_EDIT_H

#include <apr_time.h>
#include <stdbool.h>

#include "policy/tbl.h"

#define EDIT_PREFIX	  "/pst/edit/"
#define EDIT_PREFIX_DRAIN "/pst/drain/"

/* Longest value of a cell as text, in bytes. */
#define EDIT_TEXT_MAX 31

enum edit_kind {
	EDIT_DEADLINE,
	EDIT_RESERVED,
	EDIT_SHIFT_CAP,
	EDIT_WEIGHT,
	EDIT_REGION_LIMIT,
	EDIT_LINK,
	/* An operator's mark that drains a VM: 1 or 0. */
	EDIT_DRAIN,
};

struct edit_cell {
	enum edit_kind kind;
	/* Unused by EDIT_LINK and EDIT_DRAIN. */
	struct strbuf service;
	enum rank rank;
	/*
	 * The domain of a weight, the region of a limit, the region from which
	 * a link leads, or the VM of a drain mark.
	 */
	struct strbuf name;
	/* The region to which a link leads (EDIT_LINK only). */
	struct strbuf to;
};

/*
 * Parses "deadline_ms", "reserved_pct", "shift_cap_pct_per_s",
 * "weight.DOMAIN", "region_limit.REGION" or "link.FROM.TO"; for a link,
 * service and rank are "-". Returns 0 or PST_ERR_INVALID.
 */
int edit_cell_parse(struct str service, struct str rank, struct str cell,
		    struct edit_cell *out);

/* Makes the cell of a VM's drain mark. Returns 0 or PST_ERR_INVALID. */
int edit_cell_drain(struct str vm, struct edit_cell *out);

/* Length of a store key with its NUL. */
#define EDIT_KEY_MAX 128

/* Writes the store key of the part that holds the cell. */
void edit_cell_key(const struct edit_cell *cell, char out[EDIT_KEY_MAX]);

/* Writes the cell's value in a part as text, or "-" when it is not set. */
void edit_cell_read(const struct edit_cell *cell, struct str part,
		    char out[EDIT_TEXT_MAX + 1]);

/*
 * Makes a copy of the part in which the cell is set to value. Returns 0 with
 * *out owned by the caller (free()), PST_ERR_NOTFOUND when there is no such
 * row or link, PST_ERR_INVALID for a malformed part or a value above
 * INT64_MAX, or PST_ERR_NOMEM.
 */
int edit_cell_write(const struct edit_cell *cell, struct str part,
		    uint64_t value, struct str *out);

/*
 * Checks a service's part against the manifest as tbl_parse() would. Returns
 * 0, PST_ERR_INVALID with the cell in *problem, or PST_ERR_NOMEM.
 */
int edit_check(struct str manifest, struct str service, struct str part,
	       struct tbl_problem *problem);

/*
 * Checks whether manifest next may replace old: at most one failure domain may
 * be added or removed, so that any majority of the old domains and any majority
 * of the new ones share a domain. An empty or malformed old manifest may be
 * replaced by any. Returns 0, PST_ERR_INVALID with the manifest's cell or
 * "domains" in *problem, or PST_ERR_NOMEM.
 */
int edit_check_manifest(struct str old, struct str next,
			struct tbl_problem *problem);

/* Length of an edit's id with its NUL. */
#define EDIT_ID_SIZE 33

/* Time for which records of edits are kept, in seconds. */
#define EDIT_KEEP_S ((uint64_t)30 * 24 * 3600)

/*
 * Makes the id of an edit that begins at now_s (wall clock, in seconds). Ids
 * sort by that second; the random part distinguishes edits of one second.
 */
void edit_id_make(char out[EDIT_ID_SIZE], uint64_t now_s,
		  const uint64_t random_bits[2]);

/*
 * Writes the key below which records may be deleted: those older than
 * EDIT_KEEP_S both by this process's clock, now_s, and by the time of the
 * previous edit, last_when (RFC 3339), so that one wrong clock deletes no
 * record too soon. Returns false when nothing is to be deleted.
 */
bool edit_expired_end(char out[EDIT_KEY_MAX], uint64_t now_s,
		      struct str last_when);

enum edit_step {
	/* Read the part, the head and the manifest. */
	EDIT_STEP_READ,
	/* Swap, comparing with the revisions that the last read returned. */
	EDIT_STEP_SWAP,
	/* Look for the record of this edit. */
	EDIT_STEP_READ_BACK,
	/* Written at edit.revision. */
	EDIT_STEP_DONE,
	/* Not written, and never will be; edit.err is the reason. */
	EDIT_STEP_REFUSED,
	/* The store stopped answering; the edit may have been written. */
	EDIT_STEP_UNKNOWN,
};

struct edit {
	struct edit_cell cell;
	/* The cell's name as the operator typed it, for messages. */
	char label[EDIT_KEY_MAX];
	char wanted[EDIT_TEXT_MAX + 1];
	/* The cell has been read once; base is valid. */
	bool begun;
	/* The cell's value when the edit began. */
	char initial_value[EDIT_TEXT_MAX + 1];
	/* The value set by another operator when err is PST_ERR_CONFLICT. */
	char conflicting_value[EDIT_TEXT_MAX + 1];
	enum edit_step step;
	/* A swap's reply was lost; it may have succeeded or still succeed. */
	bool uncertain;
	/*
	 * A key that the lost swap compares has changed, so that the swap can
	 * no longer succeed.
	 */
	bool settled;
	/* Another operator changed the cell. */
	bool conflict;
	uint64_t revision;
	int err;
	/* Time after which no step is retried. */
	apr_time_t give_up_at;
};

/* Copies label, the cell's name, and wanted, its new value as text. */
void edit_begin(struct edit *edit, const struct edit_cell *cell,
		const char *label, const char *wanted, apr_time_t give_up_at);

/* Takes the result of a read: err, or 0 and the part's current text. */
void edit_on_read(struct edit *edit, int err, struct str part, apr_time_t now);

/*
 * Takes the result of kvclient_swap_all(): 0 with the new revision,
 * PST_ERR_CONFLICT, PST_ERR_UNAVAILABLE when the store did not take the call,
 * or another error when the outcome is unknown.
 */
void edit_on_swap(struct edit *edit, int err, uint64_t revision,
		  apr_time_t now);

/* Takes the result of a read of the record: err, or whether it was found. */
void edit_on_read_back(struct edit *edit, int err, bool found,
		       uint64_t revision, apr_time_t now);

#endif
