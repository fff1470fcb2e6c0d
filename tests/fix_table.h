/* A small table and VM list for tests. */
#ifndef TESTS_FIX_TABLE_H
#define TESTS_FIX_TABLE_H

#include "policy/tbl.h"
#include "policy/vml.h"

/* Three regions, two failure domains each, two services. */
extern const char fix_manifest[];

/* The rows of a service. */
extern const char fix_service[];

/* Parts of a table: manifest, status, booking. */
extern const struct tbl_part fix_parts[3];

/*
 * Writes a list of entry VMs "entry-1" and so on, per_domain in each domain
 * of fix_manifest, as JSON. Returns a text owned by the caller (free()).
 */
char *fix_vm_list(int per_domain);

/* The same list parsed, with one reference. */
struct vml *fix_vms(int per_domain);

#endif
