/*
 * The parsed form of the VM list that the platform publishes.
 *
 * A struct vmlist is immutable and reference-counted.
 */
#ifndef POLICY_VMLIST_H
#define POLICY_VMLIST_H

#include <stdbool.h>

#include "common/ref.h"
#include "common/str.h"

enum vm_kind {
	/* Runs pst-entryd, pst-controld and pst-lookupd. */
	VM_ENTRY,
	VM_UPSTREAM,
};

enum vm_state {
	VM_LIVE,
	/* Gets no new work. */
	VM_LEAVING,
};

struct vm {
	struct strbuf id;
	enum vm_kind kind;
	enum vm_state state;
	/*
	 * Set in the corrected list only: the VM's pst-entryd is in a planned
	 * stop, so that look-ups don't return it. Its pst-controld keeps its
	 * roles.
	 */
	bool stopping;
	struct strbuf region;
	struct strbuf domain;
	struct strbuf address;
	/* Upstreams only. */
	struct strbuf service;
	uint16_t port;
	uint32_t slots;
};

struct vmlist {
	struct ref ref;
	/* Grows with each change of the list. */
	uint64_t revision;
	/* Sorted by id. */
	struct vm *vms;
	size_t count;
};

/* Most VMs that vmlist_rendezvous() picks. */
#define VMLIST_MAX_PICKS 256

/*
 * Makes a list of count zeroed VMs. The caller fills them in, sorted by id,
 * before sharing the list. Returns 0 or PST_ERR_NOMEM.
 */
int vmlist_create(struct vmlist **out, size_t count);

/* Parses the platform's JSON. Returns 0, PST_ERR_INVALID or PST_ERR_NOMEM. */
int vmlist_parse(struct vmlist **out, struct str json);

/* Copies a list with its revision. Returns 0 or PST_ERR_NOMEM. */
int vmlist_copy(struct vmlist **out, const struct vmlist *from);

void vmlist_get(struct vmlist *vmlist);
void vmlist_put(struct vmlist *vmlist);

/* Sorts the VMs of a list that is not shared yet by id. */
void vmlist_sort(struct vmlist *vmlist);

/* Whether two VMs are equal in everything but their ids. */
bool vm_equal(const struct vm *a, const struct vm *b);

/* Returns NULL when the VM is not on the list. */
const struct vm *vmlist_find(const struct vmlist *vmlist, struct str id);

/* Whether an entry VM of the list has this IP address. */
bool vmlist_has_entry_address(const struct vmlist *vmlist, struct str ip);

/*
 * Picks up to want live entry VMs for key by rendezvous hashing, highest score
 * first. A domain that is not empty restricts the choice to its VMs. Returns
 * the number picked, at most VMLIST_MAX_PICKS.
 */
size_t vmlist_rendezvous(const struct vmlist *vmlist, struct str key,
			 struct str domain, const struct vm **out, size_t want);

#endif
