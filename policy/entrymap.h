/*
 * Decides which entry VMs a block of callers should use.
 *
 * A struct entrymap is an immutable snapshot, shared by reference count. Blocks
 * are hashed into a fixed number of buckets whose entry VMs are computed when
 * the snapshot is built, so memory does not depend on the number of blocks and
 * grows with services by one slot each.
 */
#ifndef POLICY_ENTRYMAP_H
#define POLICY_ENTRYMAP_H

#include "common/ref.h"
#include "common/str.h"
#include "policy/tbl.h"
#include "policy/vmlist.h"

/* Most entry VMs in one answer. */
#define ENTRYMAP_CHOICES 3

/* Buckets that blocks are hashed into; a power of two. */
#define ENTRYMAP_BUCKETS 65536

/* Largest answer, in bytes, with the final NUL. */
#define ENTRYMAP_ANSWER_MAX 2048

struct entrymap_conf {
	/* Region of this VM; its entry VMs come first. */
	struct str region;
	/* Port of every pst-entryd. */
	uint16_t entry_port;
	/* Time that a caller may keep an answer, in milliseconds. */
	uint32_t ttl_ms;
};

struct entrymap;

/*
 * Returns a digest of the inputs of entrymap_build(): equal digests give equal
 * answers, also from lists and tables of different revisions.
 */
uint64_t entrymap_digest(const struct vmlist *vmlist, const struct tbl *tbl);

/*
 * Builds a snapshot from the live entry VMs and the table's services. On
 * success *out holds one reference. Returns 0 or PST_ERR_NOMEM.
 */
int entrymap_build(struct entrymap **out, const struct vmlist *vmlist,
		   const struct tbl *tbl, const struct entrymap_conf *conf);

void entrymap_get(struct entrymap *entrymap);
/* NULL is allowed. */
void entrymap_put(struct entrymap *entrymap);

/* Returns the number of live entry VMs in the snapshot. */
size_t entrymap_vm_count(const struct entrymap *entrymap);

/* Returns the name of the VM at a position, valid as long as the snapshot. */
struct str entrymap_vm_id(const struct entrymap *entrymap, uint32_t at);

/* Returns the memory of the snapshot, in bytes. */
size_t entrymap_bytes(const struct entrymap *entrymap);

/*
 * Writes the positions of the block's entry VMs, best first, and returns their
 * number. A position is an index among the live entry VMs in list order.
 */
size_t entrymap_pick(const struct entrymap *entrymap, struct str block,
		     uint32_t out[ENTRYMAP_CHOICES]);

/*
 * Writes the answer as JSON, NUL-terminated, and its length. Returns 0,
 * PST_ERR_NOTFOUND when the table has no such service, or
 * PST_ERR_UNAVAILABLE when no entry VM is live.
 */
int entrymap_answer(const struct entrymap *entrymap, struct str service,
		    struct str block, char out[ENTRYMAP_ANSWER_MAX],
		    size_t *len);

#endif
