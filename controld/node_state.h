/* State of a node, shared by the files that make it up; nobody else. */
#ifndef CONTROLD_NODE_STATE_H
#define CONTROLD_NODE_STATE_H

#include <pthread.h>

#include "agent/hold.h"
#include "controld/clients.h"
#include "controld/node.h"
#include "policy/lsd.h"
#include "policy/mbr.h"
#include "policy/mbr_mark.h"

struct node {
	const struct settings *set;
	const struct clk *clk;
	struct cview *cview;
	uint64_t incarnation;
	pthread_mutex_t lock;
	pthread_cond_t newer;
	struct hold hold;
	bool fresh;
	enum node_source source;
	bool store_reachable;
	/* The platform's list. */
	struct lsd *listed;
	/* The corrected list; its revision counts the corrections. */
	struct vml *members;
	apr_time_t corrected_at;
	struct mbr *mbr;
	struct mbr_marks marks;
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

/* Waits for news of the table, the list or the marks, at most timeout. */
void node_wait_locked(struct node *node, apr_interval_time_t timeout);

/* Corrects the list again and publishes what has changed. */
void node_correct_locked(struct node *node);

/* What a process says of itself with its question. */
void node_note_serves_locked(struct node *node, const table_ask *ask);

void node_note_hints_locked(struct node *node, const table_ask *ask);

void node_forget_marks_locked(struct node *node);

/* Shows the marks in a corrected list that is not shared yet. */
void node_show_marks_locked(const struct node *node, struct vml *members);

/* Makes a message of the marks changed after a version. */
int node_copy_marks_locked(const struct node *node, uint64_t after,
			   table_mark **out, u_int *count);

#endif
