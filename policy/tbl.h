/*
 * The operators' table, decoded.
 *
 * A struct tbl is immutable and shared by reference count. Regions, failure
 * domains, services and links are addressed by their index in it.
 */
#ifndef POLICY_TBL_H
#define POLICY_TBL_H

#include <apr_time.h>

#include "common/ref.h"
#include "common/str.h"

/* Keys of the store that hold the table. */
#define TBL_PREFIX	   "/pst/table/"
#define TBL_KEY_MANIFEST   "/pst/table/manifest"
#define TBL_PREFIX_SERVICE "/pst/table/service/"

enum rank {
	RANK_URGENT,
	RANK_NORMAL,
	RANK_BULK,
	RANK_COUNT,
};

struct tbl_region {
	struct strbuf name;
};

struct tbl_domain {
	struct strbuf name;
	/* Index into regions. */
	uint32_t region;
};

/* One direction of the link between two regions. */
struct tbl_link {
	uint32_t from;
	uint32_t to;
	uint64_t bytes_per_s;
};

/* The cells of one service and rank. */
struct tbl_row {
	/* Index into services. */
	uint32_t service;
	enum rank rank;
	/* Time a request may take when the caller names none. */
	uint32_t deadline_ms;
	/* Part of the service's slots kept for this rank. */
	uint32_t reserved_pct;
	/* Largest part of the row's traffic moved between domains in 1 s. */
	uint32_t shift_cap_pct_per_s;
	/* One for each failure domain: share of the row's traffic. */
	uint32_t *weights;
	/* One for each region: requests a second taken from other regions. */
	uint32_t *region_limits;
};

struct tbl {
	struct ref ref;
	/* Store's revision of the newest change that this table holds. */
	uint64_t revision;
	struct tbl_region *regions;
	size_t region_count;
	struct tbl_domain *domains;
	size_t domain_count;
	struct tbl_link *links;
	size_t link_count;
	struct strbuf *services;
	size_t service_count;
	/* service_count * RANK_COUNT rows: row of s, r at s * RANK_COUNT + r.
	 */
	struct tbl_row *rows;
};

/* One value of the store: key, revision of its last change, and text. */
struct tbl_part {
	struct str key;
	uint64_t mod_revision;
	struct str value;
};

/* Which cell was refused, and why. */
struct tbl_problem {
	struct strbuf service;
	struct strbuf cell;
	int err;
};

/*
 * Parses the manifest and the services' parts (JSON). On success *out holds
 * one reference, dropped with tbl_put(). On failure returns PST_ERR_INVALID
 * and names the cell.
 */
int tbl_parse(struct tbl **out, const struct tbl_part *parts, size_t count,
	      uint64_t revision, struct tbl_problem *problem);

/*
 * As tbl_parse(), taking every part that is not among the given ones from
 * base. Costs the changed parts alone, unless the manifest is one of them:
 * then every service's part must be given. base may be NULL.
 */
int tbl_apply(struct tbl **out, const struct tbl *base,
	      const struct tbl_part *parts, size_t count, uint64_t revision,
	      struct tbl_problem *problem);

void tbl_get(struct tbl *tbl);
void tbl_put(struct tbl *tbl);

/* Index of a name, or -1. */
int tbl_region_find(const struct tbl *tbl, struct str name);
int tbl_domain_find(const struct tbl *tbl, struct str name);
int tbl_service_find(const struct tbl *tbl, struct str name);

const struct tbl_row *tbl_row(const struct tbl *tbl, uint32_t service,
			      enum rank rank);

const char *rank_name(enum rank rank);

/* Returns 0 or PST_ERR_INVALID. */
int rank_parse(struct str name, enum rank *out);

#endif
