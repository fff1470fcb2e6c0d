/* The manifest of a table: regions, failure domains, links and services. */
#ifndef POLICY_TBL_MANIFEST_H
#define POLICY_TBL_MANIFEST_H

#include "policy/tbl.h"

/* Limits on the size of a table. */
#define TBL_MAX_REGIONS	 256
#define TBL_MAX_DOMAINS	 1024
#define TBL_MAX_SERVICES 16384

/* A parsed manifest. Immutable; shared by the tables that it belongs to. */
struct tbl_manifest {
	struct ref ref;
	struct tbl_region *regions;
	size_t region_count;
	struct tbl_domain *domains;
	size_t domain_count;
	struct tbl_link *links;
	size_t link_count;
	struct strbuf *services;
	size_t service_count;
	/* Indices into services, sorted by name. */
	uint32_t *order;
};

/* Returns 0 with one reference, PST_ERR_INVALID or PST_ERR_NOMEM. */
int tbl_manifest_parse(struct tbl_manifest **out, struct str json,
		       struct tbl_problem *problem);

/* Return the index of a name, or -1. */
int tbl_manifest_region(const struct tbl_manifest *manifest, struct str name);
int tbl_manifest_domain(const struct tbl_manifest *manifest, struct str name);
int tbl_manifest_service(const struct tbl_manifest *manifest, struct str name);

/* Fills in *problem and returns err. Truncates a long cell name. */
int tbl_refuse(struct tbl_problem *problem, struct str service, int err,
	       const char *cell, ...) __attribute__((format(printf, 4, 5)));

#endif
