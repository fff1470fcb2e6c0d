/*
 * The parsed form of the table that operators edit.
 *
 * A struct tbl is immutable and reference-counted. Regions, failure domains,
 * services and links are identified by their index in its arrays.
 */
#ifndef POLICY_TBL_H
#define POLICY_TBL_H

#include <apr_time.h>

#include "common/ref.h"
#include "common/str.h"

/* Store keys of the table. */
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
	/* Deadline of requests whose caller sets none. */
	uint32_t deadline_ms;
	/* Percentage of the service's slots reserved for this rank. */
	uint32_t reserved_pct;
	/* Most traffic moved between domains within 1 s, in % of the row's. */
	uint32_t shift_cap_pct_per_s;
	/* Relative share of the row's traffic, indexed by failure domain. */
	uint32_t *weights;
	/*
	 * Most requests per second taken from other regions, indexed by
	 * region; UINT32_MAX: no limit.
	 */
	uint32_t *region_limits;
};

struct tbl {
	struct ref ref;
	/* Store revision of the newest change in this table. */
	uint64_t revision;
	struct tbl_region *regions;
	size_t region_count;
	struct tbl_domain *domains;
	size_t domain_count;
	struct tbl_link *links;
	size_t link_count;
	struct strbuf *services;
	size_t service_count;
	/* service_count * RANK_COUNT, indexed by service * RANK_COUNT + rank.
	 */
	struct tbl_row *rows;
};

/* A key of the store, the revision of its last change, and its value. */
struct tbl_part {
	struct str key;
	uint64_t mod_revision;
	struct str value;
};

/* The cell that was rejected, and the error. */
struct tbl_problem {
	struct strbuf service;
	struct strbuf cell;
	int err;
};

/*
 * Parses the manifest and the services' parts (JSON). On success *out holds
 * one reference, dropped with tbl_put(). Otherwise returns PST_ERR_INVALID
 * with the cell in *problem, or PST_ERR_NOMEM.
 */
int tbl_parse(struct tbl **out, const struct tbl_part *parts, size_t count,
	      uint64_t revision, struct tbl_problem *problem);

/*
 * Like tbl_parse(), but takes the parts that are not given from base, which
 * may be NULL, so that only the changed parts are parsed. When the manifest is
 * among the given parts, the parts of all services must be given as well.
 */
int tbl_apply(struct tbl **out, const struct tbl *base,
	      const struct tbl_part *parts, size_t count, uint64_t revision,
	      struct tbl_problem *problem);

void tbl_get(struct tbl *tbl);
void tbl_put(struct tbl *tbl);

/* Return the index of a name, or -1. */
int tbl_region_find(const struct tbl *tbl, struct str name);
int tbl_domain_find(const struct tbl *tbl, struct str name);
int tbl_service_find(const struct tbl *tbl, struct str name);

const struct tbl_row *tbl_row(const struct tbl *tbl, uint32_t service,
			      enum rank rank);

const char *rank_name(enum rank rank);

/* Returns 0 or PST_ERR_INVALID. */
int rank_parse(struct str name, enum rank *out);

#endif
