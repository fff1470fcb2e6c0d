/*
 * The parsed form of the VM list that the platform publishes.
 *
 * A struct vml is immutable and reference-counted.
 */
#ifndef POLICY_VML_H
#define POLICY_VML_H

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

struct vml {
	struct ref ref;
	/* Grows with each change of the list. */
	uint64_t revision;
	/* Sorted by id. */
	struct vm *vms;
	size_t count;
};

/* Most VMs that vml_rendezvous() picks. */
#define VML_MAX_PICKS 256

/*
 * Makes a list of count zeroed VMs. The caller fills them in, sorted by id,
 * before sharing the list. Returns 0 or PST_ERR_NOMEM.
 */
int vml_create(struct vml **out, size_t count);

/* Parses the platform's JSON. Returns 0, PST_ERR_INVALID or PST_ERR_NOMEM. */
int vml_parse(struct vml **out, struct str json);

/* Copies a list with its revision. Returns 0 or PST_ERR_NOMEM. */
int vml_copy(struct vml **out, const struct vml *from);

void vml_get(struct vml *vml);
void vml_put(struct vml *vml);

/* Sorts the VMs of a list that is not shared yet by id. */
void vml_sort(struct vml *vml);

/* Whether two VMs are equal in everything but their ids. */
bool vm_equal(const struct vm *a, const struct vm *b);

/* Returns NULL when the VM is not on the list. */
const struct vm *vml_find(const struct vml *vml, struct str id);

/* Whether an entry VM of the list has this IP address. */
bool vml_has_entry_address(const struct vml *vml, struct str ip);

/*
 * Picks up to want live entry VMs for key by rendezvous hashing, highest score
 * first. A domain that is not empty restricts the choice to its VMs. Returns
 * the number picked, at most VML_MAX_PICKS.
 */
size_t vml_rendezvous(const struct vml *vml, struct str key, struct str domain,
		      const struct vm **out, size_t want);

#endif
