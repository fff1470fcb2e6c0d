/*
 * One pst-controld's share of every limit: lends to those below it and to
 * other failure domains, and works out what to borrow from whom.
 *
 * It owns the parts of the failure domains that it holds (see shr_root) and
 * adds what it borrows. Limits are kept only while somebody uses them.
 */
#ifndef POLICY_SHR_NODE_H
#define POLICY_SHR_NODE_H

#include "policy/shr_book.h"
#include "policy/shr_map.h"

/* Limits in one message. */
#define SHR_ASKS_MAX 2048

/*
 * Time that a raised part waits, so that every VM has seen the table change
 * that raised it: the bound of an edit's way with as much again.
 */
#define SHR_SETTLE (10 * APR_USEC_PER_SEC)

struct shr_ask {
	uint64_t id;
	/* Bytes or requests a second. */
	uint64_t want;
};

/*
 * Who asks, and whom it takes this node for: a borrower keeps one grant for
 * each, so each is counted. Another process of a name is another borrower.
 */
struct shr_borrower {
	struct strbuf name;
	uint64_t incarnation;
	enum shr_level level;
	/* Failure domain for which this node answers; empty for a child. */
	struct strbuf lender;
};

struct shr_node;

/* loan: longest duration of a grant. Returns 0 or PST_ERR_NOMEM. */
int shr_node_create(struct shr_node **out, apr_interval_time_t loan);
void shr_node_destroy(struct shr_node *node);

/*
 * Puts a table's limits in force: lowered parts at once, raised ones after
 * SHR_SETTLE. Takes a reference to map.
 */
void shr_node_set_map(struct shr_node *node, apr_time_t now,
		      struct shr_map *map);

/* Starts or stops to own the part of a failure domain. */
int shr_node_hold(struct shr_node *node, struct str domain, bool hold);
bool shr_node_holds(const struct shr_node *node, struct str domain);

/* Time until nothing that was lent can be in use any more. */
apr_interval_time_t shr_node_rest(const struct shr_node *node, apr_time_t now);

/*
 * Serves a borrower: out[i] answers asks[i]. Returns 0, or PST_ERR_FULL or
 * PST_ERR_NOMEM with the grants so far.
 */
int shr_node_serve(struct shr_node *node, apr_time_t now,
		   const struct shr_borrower *from, const struct shr_ask *asks,
		   size_t count, struct shr_grant *out);

enum shr_lender_kind {
	/* A VM of the own domain: for all that the children want. */
	SHR_PARENT,
	/* A VM that speaks for another domain: for what is lacking. */
	SHR_OTHER_DOMAIN,
	/*
	 * Either, when it no longer is: its grants are renewed, a little less
	 * each time, while others take its place. Given up at once, all of
	 * them would rest unused at the same time.
	 */
	SHR_FORMER,
};

/* Whom to ask. Each VM and domain it speaks for is a source of its own. */
struct shr_lender {
	enum shr_lender_kind kind;
	struct str vm;
	/* Empty for a VM of the own domain. */
	struct str domain;
};

/* Works out what to ask of a lender; at most SHR_ASKS_MAX asks. */
size_t shr_node_plan(struct shr_node *node, apr_time_t now,
		     const struct shr_lender *lender, struct shr_ask *out);

/*
 * Takes over a lender's answer in place of its earlier one; sent_at: before
 * the request was sent.
 */
void shr_node_apply(struct shr_node *node, apr_time_t now,
		    const struct shr_lender *lender, apr_time_t sent_at,
		    const struct shr_ask *asks, const struct shr_grant *grants,
		    size_t count);

/* Own part of a limit now, and that with all that is borrowed. */
uint64_t shr_node_root(struct shr_node *node, apr_time_t now, uint64_t id);
uint64_t shr_node_pool(struct shr_node *node, apr_time_t now, uint64_t id);

/* Forgets limits that nobody uses. */
void shr_node_sweep(struct shr_node *node, apr_time_t now);

/* Limits in use, and bytes that the node holds. */
size_t shr_node_limits(const struct shr_node *node);
size_t shr_node_bytes(const struct shr_node *node);

#endif
