/* State of a node, shared by the files that make it up; nobody else. */
#ifndef CONTROLD_NODE_STATE_H
#define CONTROLD_NODE_STATE_H

#include <pthread.h>

#include "agent/hold.h"
#include "controld/clients.h"
#include "controld/node.h"
#include "policy/lsd.h"
#include "policy/mbr.h"

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
	apr_time_t listed_at;
	/* The corrected list; its revision counts the corrections. */
	struct vml *members;
	apr_time_t corrected_at;
	struct mbr *mbr;
	bool relay;
	apr_time_t relay_since;
	/* Last exchange with a relay of the own domain, or the start. */
	apr_time_t relay_heard_at;
	apr_time_t started_at;
	struct clients clients;
};

#endif
