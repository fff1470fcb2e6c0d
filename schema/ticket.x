/* At-most-once protocol between entry processes. */

%#include "schema/gen/common.h"

const TKT_OPS_MAX = 4096;
const TKT_TEXT_MAX = 128;
const TKT_ITEMS_MAX = 2048;

/* Process and attempt; see policy/tkt_types.h. */
struct tktm_owner {
	unsigned hyper vm;
	unsigned hyper incarnation;
	unsigned hyper attempt;
};

struct tktm_op {
	/* enum tkt_op_kind */
	unsigned int kind;
	unsigned int index;
	unsigned hyper block;
	unsigned hyper attempt;
};

struct tktm_apply_args {
	/* Incarnation of the witness to which the operations are sent. */
	unsigned hyper witness_incarnation;
	/* Process that requests the operations. */
	unsigned hyper vm;
	unsigned hyper incarnation;
	struct tktm_op ops<TKT_OPS_MAX>;
};

struct tktm_ruling {
	/* enum tkt_grant */
	unsigned int grant;
	struct tktm_owner owner;
};

struct tktm_apply_res {
	bool leaving;
	/* Rulings on the operations, in their order. */
	struct tktm_ruling rulings<TKT_OPS_MAX>;
};

struct tktm_open_args {
	unsigned hyper vm;
	unsigned hyper incarnation;
	unsigned int count;
};

struct tktm_open_res {
	/* 0 or an error number. */
	int err;
	bool leaving;
	unsigned hyper witness_incarnation;
	unsigned hyper block;
	unsigned int count;
	/* Time to live of the block in microseconds, from the answer on. */
	unsigned hyper ttl_us;
};

struct tktm_shrink_args {
	unsigned hyper witness_incarnation;
	unsigned hyper block;
	unsigned int first_unused;
};

struct tktm_item {
	/* enum tkt_item_kind */
	unsigned int kind;
	unsigned int index;
	unsigned int count;
	unsigned hyper block;
	unsigned hyper home;
	unsigned hyper ttl_left_us;
	struct tktm_owner owner;
};

/* Chunk of a handover by a stopping witness; see policy/tkt_wset.h. */
struct tktm_adopt_args {
	unsigned hyper vm;
	unsigned hyper incarnation;
	unsigned hyper first;
	unsigned hyper next;
	unsigned int sequence;
	bool last;
	struct tktm_item items<TKT_ITEMS_MAX>;
};

struct tktm_adopt_res {
	/* 0 or an error number. */
	int err;
};

struct tktm_query_args {
	/* Incarnation of the process that is asked. */
	unsigned hyper incarnation;
	/* Attempt that owns the key according to the arbiter, or 0. */
	unsigned hyper attempt;
	string key<TKT_TEXT_MAX>;
};

struct tktm_query_res {
	/* enum tkt_outcome */
	unsigned int outcome;
};
