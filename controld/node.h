/*
 * State of this pst-controld: the table and its freshness, and the platform's
 * VM list with local corrections. Background threads update it, the RPC server
 * answers from it, and every change is published to the other services of the
 * process. Thread-safe.
 */
#ifndef CONTROLD_NODE_H
#define CONTROLD_NODE_H

#include "controld/curview.h"
#include "policy/liveness_mark.h"
#include "policy/rev.h"
#include "schema/gen/table.h"

struct node;

/* Source of a confirmation that the table is the newest. */
enum node_source {
	NODE_SOURCE_NONE,
	NODE_SOURCE_STORE,
	NODE_SOURCE_PEER,
	NODE_SOURCE_MAJORITY,
};

/*
 * Borrows set, both clocks (see tblcache_init()) and curview. Returns 0 or
 * PST_ERR_NOMEM.
 */
int node_create(struct node **out, const struct settings *set,
		const struct clk *clk, const struct clk *wall,
		struct curview *curview);
void node_destroy(struct node *node);

/* Adds parts of a multi-page answer; they are not in force yet. */
int node_add_parts(struct node *node, const struct tbl_part *parts,
		   size_t count);

/* Puts the added parts in force; see tblcache_apply(). */
int node_apply_parts(struct node *node, uint64_t revision, const char *source);

/*
 * Applies a change from the revision previous to revision. Returns 0, also if
 * revision is not newer, PST_ERR_STALE when a change before previous is missing
 * here, or an error of tblcache_store_parts() or tblcache_apply().
 */
int node_apply_change(struct node *node, const struct tbl_part *parts,
		      size_t count, uint64_t previous, uint64_t revision,
		      const char *source);

/* See rev_confirm(). */
void node_confirm(struct node *node, uint64_t newest, apr_time_t at,
		  enum node_source source);

/* Notes the status of another VM's table; see rev_allow_confirm(). */
void node_note_peer(struct node *node, const table_status *peer);

/* Revision of the table held; 0 before the first. */
uint64_t node_revision(struct node *node);

/* Whether a higher revision than the held one has been heard of. */
bool node_is_behind(struct node *node);

/* Time since the last confirmation, or REV_NEVER. */
apr_interval_time_t node_age(struct node *node);

/* Where the last confirmation came from. */
enum node_source node_source(struct node *node);

/* Whether this node's revision may count in a majority. */
bool node_is_voter(struct node *node);

/* Revisions of the table and of the platform's list. */
struct node_held {
	uint64_t table;
	uint64_t list;
};

/*
 * Waits, at most for timeout, until the table or the list is newer than held
 * says, and sets held to the current revisions.
 */
void node_wait_newer(struct node *node, struct node_held *held,
		     apr_interval_time_t timeout);

/*
 * Makes a message of all changes after the given revisions; freed by
 * xdr_free(). Returns 0, PST_ERR_FULL when it is too large, or PST_ERR_NOMEM.
 */
int node_make_change(struct node *node, const struct node_held *after,
		     table_change *out);

/* The table as a new reference, or NULL before the first. */
struct tbl *node_table(struct node *node);

/* Notes whether the store answers. */
void node_set_store(struct node *node, bool reachable);

bool node_store_reachable(struct node *node);

/* Takes a list read from the platform, with its reference; see vmhist_read().
 */
void node_offer_list(struct node *node, struct vmlist *list);

/*
 * Applies a change of the list. Returns 0, PST_ERR_STALE when it does not fit
 * the list held, PST_ERR_PROTOCOL or PST_ERR_NOMEM.
 */
int node_apply_delta(struct node *node, const table_delta *delta);

/* Addresses of possible peers kept while no VM list is held. */
#define NODE_HINTS_MAX 8

/* Adds the address of a VM that may have the list, if none is held. */
void node_add_hint(struct node *node, struct str ip);

/* Copies the added addresses; returns how many. */
size_t node_hints(struct node *node, struct strbuf out[NODE_HINTS_MAX]);

/* Revision of the platform's list held; 0 before the first. */
uint64_t node_listed_revision(struct node *node);

/* The corrected list as a new reference, or NULL before the first. */
struct vmlist *node_members(struct node *node);

/* Whether this VM is a relay of its failure domain; true without a list. */
bool node_is_relay(struct node *node);

/* Note that a VM has answered, or failed to. */
void node_vm_heard(struct node *node, struct str id);
void node_vm_failed(struct node *node, struct str id);

/* Merges the relays' reports of absent VMs from a peer's answer. */
void node_merge_absents(struct node *node, const table_answer *answer);

/* Merges marks of VMs that are leaving or have come back. */
void node_merge_marks(struct node *node, const table_mark *marks, u_int count);

/*
 * Waits, at most for timeout, until a mark is newer than *version, and sets
 * *version to the current one. *out is an array of the marks changed since,
 * freed by the caller (free()). Returns 0 or PST_ERR_NOMEM.
 */
int node_wait_marks(struct node *node, uint64_t *version,
		    apr_interval_time_t timeout, struct mbr_mark **out,
		    size_t *count);

/*
 * Called periodically by one thread: detects pauses, expires confirmations and
 * corrects the VM list.
 */
void node_tick(struct node *node);

/* Whether a VM list is held. */
bool node_has_list(struct node *node);

/* Whether an address belongs to a listed entry VM. */
bool node_lists_address(struct node *node, struct str ip);

/* Notes an exchange with a relay of the own failure domain. */
void node_relay_heard(struct node *node);

/*
 * Whether this VM is to read from the platform itself: it is a relay, or no
 * relay of its failure domain has been heard for the heartbeat timeout.
 */
bool node_reads_platform(struct node *node);

/* Make answers for the RPC server, freed by xdr_free(). */
int node_status(struct node *node, table_status *out);
int node_answer_sync(struct node *node, const table_ask *ask,
		     table_answer *out);

int node_answer_view(struct node *node, const table_ask *ask,
		     table_answer *out);

#endif
