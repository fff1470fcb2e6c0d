/* A small table and VM list for tests. */
#ifndef TESTS_FIX_TABLE_H
#define TESTS_FIX_TABLE_H

#include "policy/tbl.h"
#include "policy/vmlist.h"

/* A manifest with three regions of two failure domains, and two services. */
extern const char fix_manifest[];

/* The part of a service: its three rows. */
extern const char fix_service[];

/* The parts of a table: the manifest, and the services status and booking. */
extern const struct tbl_part fix_parts[3];

/*
 * Makes the JSON of a VM list: entry VMs "entry-1", "entry-2" and so on,
 * per_domain in each domain of fix_manifest. The caller frees it with free().
 */
char *fix_vm_list(int per_domain);

/* Parses the same list. The caller drops its reference with vmlist_put(). */
struct vmlist *fix_vms(int per_domain);

#endif
