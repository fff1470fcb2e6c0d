/*
 * What this pst-controld knows: the table with its freshness, the platform's
 * VM list and its corrections. The duties feed it, the RPC server answers
 * from it, and every change is published to the cview. Thread-safe.
 */
#ifndef CONTROLD_NODE_H
#define CONTROLD_NODE_H

#include "controld/cview.h"
#include "policy/mbr_mark.h"
#include "policy/rev.h"
#include "schema/gen/table.h"

struct node;

/* Where a confirmation of the table came from. */
enum node_source {
	NODE_SOURCE_NONE,
	NODE_SOURCE_STORE,
	NODE_SOURCE_PEER,
	NODE_SOURCE_MAJORITY,
};

/*
 * Borrows set, both clocks (see hold_init()) and cview. Returns 0 or
 * PST_ERR_NOMEM.
 */
int node_create(struct node **out, const struct settings *set,
		const struct clk *clk, const struct clk *wall,
		struct cview *cview);
void node_destroy(struct node *node);

/* Keeps parts of an exchange that goes on. */
int node_keep(struct node *node, const struct tbl_part *parts, size_t count);

/* Puts what is kept in force; see hold_apply(). */
int node_apply(struct node *node, uint64_t revision, const char *source);

/*
 * Takes a change that leads from the revision previous to revision. Returns
 * PST_ERR_STALE when an earlier change is missing here.
 */
int node_take_change(struct node *node, const struct tbl_part *parts,
		     size_t count, uint64_t previous, uint64_t revision,
		     const char *source);

/* See rev_confirm(). */
void node_confirm(struct node *node, uint64_t newest, apr_time_t at,
		  enum node_source source);

/* Notes what another VM has said of its table; see rev_introduce(). */
void node_meet(struct node *node, const table_status *peer);

/* Held revision; 0 before the first. */
uint64_t node_revision(struct node *node);

/* Whether a higher revision than the held one has been heard of. */
bool node_behind(struct node *node);

/* Time since the last confirmation, or REV_NEVER. */
apr_interval_time_t node_age(struct node *node);

/* Where the last confirmation came from. */
enum node_source node_source(struct node *node);

/* Whether this node's revision may count in a majority. */
bool node_voter(struct node *node);

/* Revisions of the table and of the platform's list. */
struct node_held {
	uint64_t table;
	uint64_t list;
};

/*
 * Waits until the table or the list is newer than held says, at most timeout,
 * and sets held to what is held now.
 */
void node_wait_newer(struct node *node, struct node_held *held,
		     apr_interval_time_t timeout);

/*
 * Makes the message of what changed after the given revisions; freed by
 * xdr_free(). Returns 0, PST_ERR_FULL when it is too large, or PST_ERR_NOMEM.
 */
int node_change_after(struct node *node, const struct node_held *after,
		      table_change *out);

/* The failure domains of the table, as a reference to it, or NULL. */
struct tbl *node_table(struct node *node);

/* Notes whether the store answers. */
void node_set_store(struct node *node, bool reachable);

bool node_store_reachable(struct node *node);

/* Takes over the reference to a list read from the platform; see lsd_read(). */
void node_read_list(struct node *node, struct vml *list);

/*
 * Takes a change of the list. Returns 0, PST_ERR_STALE when it does not fit
 * the list held, PST_ERR_PROTOCOL or PST_ERR_NOMEM.
 */
int node_take_delta(struct node *node, const table_delta *delta);

/* Addresses of possible peers kept while no list is known. */
#define NODE_HINTS_MAX 8

/* Notes the address of a VM that may know the list, if none is held. */
void node_note_hint(struct node *node, struct str ip);

/* Copies the addresses noted; returns how many. */
size_t node_hints(struct node *node, struct strbuf out[NODE_HINTS_MAX]);

/* Revision of the platform's list held; 0 before the first. */
uint64_t node_listed_revision(struct node *node);

/* The corrected list as a new reference, or NULL before the first. */
struct vml *node_members(struct node *node);

/* Whether this VM is a relay of its failure domain; true without a list. */
bool node_is_relay(struct node *node);

void node_vm_heard(struct node *node, struct str id);
void node_vm_failed(struct node *node, struct str id);
void node_merge_absents(struct node *node, const table_answer *answer);

/* Takes marks of VMs that leave or have come back. */
void node_merge_marks(struct node *node, const table_mark *marks, u_int count);

/*
 * Waits until a mark has changed after the version, at most timeout, and sets
 * version to the present one. Copies the marks changed since, which the caller
 * frees (free()), or NULL when there are none. Returns 0 or PST_ERR_NOMEM.
 */
int node_wait_marks(struct node *node, uint64_t *version,
		    apr_interval_time_t timeout, struct mbr_mark **out,
		    size_t *count);

/*
 * Called often by one duty: detects pauses, lets confirmations lapse,
 * corrects the list again.
 */
void node_tick(struct node *node);

/* Whether a VM list is held. */
bool node_has_list(struct node *node);

/* Whether an address belongs to a listed entry VM. */
bool node_knows_address(struct node *node, struct str ip);

/* Notes an exchange with a relay of the own failure domain. */
void node_relay_heard(struct node *node);

/*
 * Whether this VM is to read from the platform itself: it is a relay, or no
 * relay of its failure domain has been heard for the heartbeat timeout.
 */
bool node_reads_platform(struct node *node);

/* Answers for the RPC server. */
int node_status(struct node *node, table_status *out);
int node_answer_sync(struct node *node, const table_ask *ask,
		     table_answer *out);

int node_answer_view(struct node *node, const table_ask *ask,
		     table_answer *out);

#endif
