/*
 * Edits of the table: cells, and the steps of a write to the store.
 *
 * Pure: the caller performs the step that edit_step() names and feeds the
 * result back. An edit is one swap of a part, the head and the edit's own
 * record, whose id tells after a lost reply whether it took effect.
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
	/* An operator's mark that a VM gets no new work: 1 or 0. */
	EDIT_DRAIN,
};

struct edit_cell {
	enum edit_kind kind;
	/* All kinds but EDIT_LINK. */
	struct strbuf service;
	enum rank rank;
	/* A weight's domain, a limit's region, a link's from, a drain's VM. */
	struct strbuf name;
	/* EDIT_LINK only. */
	struct strbuf to;
};

/*
 * Parses "deadline_ms", "reserved_pct", "shift_cap_pct_per_s",
 * "weight.DOMAIN", "region_limit.REGION" or "link.FROM.TO"; for a link,
 * service and rank are "-". Returns 0 or PST_ERR_INVALID.
 */
int edit_cell_parse(struct str service, struct str rank, struct str cell,
		    struct edit_cell *out);

/* The mark on a VM. Returns 0 or PST_ERR_INVALID. */
int edit_cell_drain(struct str vm, struct edit_cell *out);

/* The store's key of the part that holds the cell; out is NUL-terminated. */
#define EDIT_KEY_MAX 128
void edit_cell_key(const struct edit_cell *cell, char out[EDIT_KEY_MAX]);

/* Writes the cell's value as text, or "-" when it is not set. */
void edit_cell_read(const struct edit_cell *cell, struct str part,
		    char out[EDIT_TEXT_MAX + 1]);

/*
 * Makes the part with the cell set to value. Returns 0 with *out owned by
 * the caller (free()), PST_ERR_NOTFOUND when there is no such row or link,
 * PST_ERR_INVALID for a malformed part, or PST_ERR_NOMEM.
 */
int edit_cell_write(const struct edit_cell *cell, struct str part,
		    uint64_t value, struct str *out);

/*
 * Checks a part against the manifest as tbl_parse() would. Returns 0 or
 * PST_ERR_INVALID with the cell named.
 */
int edit_check(struct str manifest, struct str service, struct str part,
	       struct tbl_problem *problem);

/*
 * Whether a manifest may follow another: at most one failure domain is added
 * or removed, so that a majority of the old and one of the new always share a
 * domain. An empty old manifest may be followed by any. Returns 0 or
 * PST_ERR_INVALID with the manifest's cell or "domains" named.
 */
int edit_check_manifest(struct str old, struct str next,
			struct tbl_problem *problem);

/* Length of an edit's id with its NUL. */
#define EDIT_ID_SIZE 33

/* Records of edits are kept for so long, in seconds. */
#define EDIT_KEEP_S ((uint64_t)30 * 24 * 3600)

/*
 * Makes an id that orders by the wall clock's second at which the edit began;
 * noise tells edits of one second apart.
 */
void edit_id_make(char out[EDIT_ID_SIZE], uint64_t now_s,
		  const uint64_t noise[2]);

/*
 * Writes the key before which records are older than EDIT_KEEP_S by both
 * clocks: the own and that of the edit before (RFC 3339). One that is wrong
 * deletes nothing too soon. Returns false when nothing is to be deleted.
 */
bool edit_expired_before(char out[EDIT_KEY_MAX], uint64_t now_s,
			 struct str last_when);

enum edit_step {
	/* Read part, head and manifest. */
	EDIT_STEP_READ,
	/* Swap with the revisions just read. */
	EDIT_STEP_SWAP,
	/* Look for the record of this edit. */
	EDIT_STEP_READ_BACK,
	/* Written, at revision. */
	EDIT_STEP_DONE,
	/* Not written and never will be; err says why. */
	EDIT_STEP_REFUSED,
	/* The store stopped answering; it may have been written. */
	EDIT_STEP_UNKNOWN,
};

struct edit {
	struct edit_cell cell;
	/* The cell's name as the operator wrote it, for messages. */
	char label[EDIT_KEY_MAX];
	char wanted[EDIT_TEXT_MAX + 1];
	/* The cell as it was when the edit began. */
	bool begun;
	char base[EDIT_TEXT_MAX + 1];
	/* The cell as another operator left it (err is PST_ERR_CONFLICT). */
	char other[EDIT_TEXT_MAX + 1];
	enum edit_step step;
	/* A swap's reply was lost and its record not yet looked for. */
	bool uncertain;
	/* What a lost swap compared with has changed: it can land no more. */
	bool settled;
	/* Another operator changed the cell. */
	bool conflict;
	uint64_t revision;
	int err;
	/* Time after which nothing is tried again. */
	apr_time_t give_up_at;
};

/* label and wanted are the cell's name and new value as text; both copied. */
void edit_begin(struct edit *edit, const struct edit_cell *cell,
		const char *label, const char *wanted, apr_time_t give_up_at);

/* Result of a read: err, or the part's present text. */
void edit_on_read(struct edit *edit, int err, struct str part, apr_time_t now);

/* Result of stc_swap_all(). */
void edit_on_swap(struct edit *edit, int err, uint64_t revision,
		  apr_time_t now);

/* Result of looking for the record: found at revision, or not. */
void edit_on_read_back(struct edit *edit, int err, bool found,
		       uint64_t revision, apr_time_t now);

#endif
