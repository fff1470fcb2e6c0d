/*
 * One pst-controld's capacity of every limit: lends it to children and to
 * other failure domains, and determines what to borrow from which lender.
 *
 * A node owns the parts of the failure domains whose records it holds (see
 * lending_root.h) and adds what it borrows. It keeps state only for limits in
 * use.
 */
#ifndef POLICY_LENDING_NODE_H
#define POLICY_LENDING_NODE_H

#include "policy/lending_book.h"
#include "policy/lending_map.h"

/* Most limits in one message. */
#define LENDING_ASKS_MAX 2048

/*
 * Delay before a raised part is used, so that every VM has the table change
 * that raised it: twice the longest time that a table change takes to reach
 * all VMs.
 */
#define LENDING_RAISE_DELAY (10 * APR_USEC_PER_SEC)

struct lending_ask {
	uint64_t id;
	/* Bytes or requests a second. */
	uint64_t want;
};

/*
 * The process that borrows, and the failure domain that it borrows from: it
 * has one grant for each domain that this node answers for, and each grant
 * counts separately. A restarted process is a different borrower.
 */
struct lending_borrower {
	struct strbuf name;
	uint64_t incarnation;
	enum shr_level level;
	/* Failure domain whose part is borrowed; empty for a child. */
	struct strbuf lender;
};

struct lending_node;

/*
 * loan is the longest duration of a grant, in microseconds. Returns 0 or
 * PST_ERR_NOMEM.
 */
int lending_node_create(struct lending_node **out, apr_interval_time_t loan);
void lending_node_destroy(struct lending_node *node);

/*
 * Puts a table's limits in force: lowered parts at once, raised ones after
 * LENDING_RAISE_DELAY. Takes a reference to map.
 */
void lending_node_set_map(struct lending_node *node, apr_time_t now,
			  struct lending_map *map);

/*
 * Starts or stops owning the part of a failure domain. Returns 0,
 * PST_ERR_NOMEM, or PST_ERR_INVALID when the name is longer than STR_ID_MAX.
 */
int lending_node_hold(struct lending_node *node, struct str domain, bool hold);
bool lending_node_holds(const struct lending_node *node, struct str domain);

/* Time until nothing that was lent can still be in use. */
apr_interval_time_t lending_node_expiry_delay(const struct lending_node *node,
					      apr_time_t now);

/*
 * Grants capacity to a borrower: out[i] answers asks[i]. Returns 0, or
 * PST_ERR_FULL or PST_ERR_NOMEM with the grants made until then.
 */
int lending_node_serve(struct lending_node *node, apr_time_t now,
		       const struct lending_borrower *from,
		       const struct lending_ask *asks, size_t count,
		       struct lending_grant *out);

enum lending_lender_kind {
	/* A VM of the own domain, asked for all that the children want. */
	LENDING_PARENT,
	/* A VM that answers for another domain, asked for the deficit. */
	LENDING_OTHER_DOMAIN,
	/*
	 * A VM that was one of these before. Its grants are renewed with a
	 * little less each time while others replace it: given up all at once,
	 * they would all be unusable for a loan and a window.
	 */
	LENDING_FORMER,
};

/*
 * A lender to ask. Each pair of a VM and a domain that it answers for is a
 * separate source.
 */
struct lending_lender {
	enum lending_lender_kind kind;
	struct str vm;
	/* Empty for a VM of the own domain. */
	struct str domain;
};

/* Determines what to ask of a lender: at most LENDING_ASKS_MAX asks. */
size_t lending_node_plan_asks(struct lending_node *node, apr_time_t now,
			      const struct lending_lender *lender,
			      struct lending_ask *out);

/*
 * Records a lender's grants in place of its earlier ones. sent_at is a time
 * before the request was sent.
 */
void lending_node_apply_grants(struct lending_node *node, apr_time_t now,
			       const struct lending_lender *lender,
			       apr_time_t sent_at,
			       const struct lending_ask *asks,
			       const struct lending_grant *grants,
			       size_t count);

/* Own part of a limit now, and that plus all that is borrowed. */
uint64_t lending_node_own_part(struct lending_node *node, apr_time_t now,
			       uint64_t id);
uint64_t lending_node_pool(struct lending_node *node, apr_time_t now,
			   uint64_t id);

/* Frees the state of limits that nobody uses. */
void lending_node_sweep(struct lending_node *node, apr_time_t now);

/* Number of limits in use, and bytes allocated by the node. */
size_t lending_node_limits(const struct lending_node *node);
size_t lending_node_bytes(const struct lending_node *node);

#endif
