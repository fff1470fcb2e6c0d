/* State of a node; private to controld/node*.c. */
#ifndef CONTROLD_NODE_STATE_H
#define CONTROLD_NODE_STATE_H

#include <pthread.h>

#include "agent/tblcache.h"
#include "controld/clients.h"
#include "controld/node.h"
#include "policy/vmhist.h"
#include "policy/liveness.h"
#include "policy/liveness_mark.h"

struct node {
	const struct settings *set;
	const struct clk *clk;
	struct curview *curview;
	uint64_t incarnation;
	pthread_mutex_t lock;
	/* Signals a change of the table, the list or the marks. */
	pthread_cond_t newer;
	struct tblcache tblcache;
	bool fresh;
	enum node_source source;
	bool store_reachable;
	/* The platform's VM list. */
	struct vmhist *listed;
	/* The corrected VM list; its revision counts corrections. */
	struct vmlist *members;
	apr_time_t corrected_at;
	struct liveness *liveness;
	struct liveness_marks marks;
	struct strbuf hints[NODE_HINTS_MAX];
	size_t hint_count;
	size_t next_hint;
	bool relay;
	apr_time_t relay_since;
	/* Last exchange with a relay of the own domain, or the start. */
	apr_time_t relay_heard_at;
	apr_time_t started_at;
	struct clients clients;
};

/* Waits for a change of the table, the list or the marks, at most timeout. */
void node_wait_locked(struct node *node, apr_interval_time_t timeout);

/* Recomputes the corrected VM list and publishes it if it has changed. */
void node_update_members_locked(struct node *node);

/* Notes whether the asking process serves or is leaving. */
void node_note_process_locked(struct node *node, const table_ask *ask);

void node_add_hints_locked(struct node *node, const table_ask *ask);

void node_expire_marks_locked(struct node *node);

/* Applies the marks to a corrected list that is not shared yet. */
void node_apply_marks_locked(const struct node *node, struct vmlist *members);

/* Copies the marks changed after a version, for a message. */
int node_copy_marks_locked(const struct node *node, uint64_t after,
			   table_mark **out, u_int *count);

#endif
