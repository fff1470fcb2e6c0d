/* Lending of limits between processes, and ownership of their parts. */

%#include "schema/gen/common.h"

const SHR_X_PROGRAM = 0x20505306;
const SHR_X_VERSION = 1;

const SHR_X_BORROW = 1;
const SHR_X_ABOUT = 2;
const SHR_X_SPLITS_PUT = 3;
const SHR_X_SPLITS_GET = 4;

const SHR_X_ASKS_MAX = 2048;
const SHR_X_DOMAINS_MAX = 1024;
const SHR_X_ROWS_MAX = 1024;

/* Amount wanted of one limit, in bytes or requests a second. */
struct shr_x_ask {
	unsigned hyper id;
	unsigned hyper want;
};

struct shr_x_borrow {
	pst_id vm;
	unsigned hyper incarnation;
	/* enum shr_level */
	unsigned int level;
	/* Failure domain whose part is borrowed; empty for a child. */
	pst_id lender;
	shr_x_ask asks<SHR_X_ASKS_MAX>;
};

/* Valid for duration_us, counted from before the request was sent. */
struct shr_x_grant {
	unsigned hyper amount;
	unsigned hyper duration_us;
};

/* Grants in the order of the asks; asks without a grant get nothing. */
struct shr_x_lent {
	int err;
	shr_x_grant grants<SHR_X_ASKS_MAX>;
};

/* Asks the named holder of a failure domain's record whether it holds it. */
struct shr_x_about {
	pst_id domain;
	unsigned hyper revision;
};

struct shr_x_holds {
	unsigned hyper incarnation;
	bool holds;
	/* If it does not hold: time until nothing it lent is in use. */
	unsigned hyper rest_us;
};

/* One row whose split differs from the table's weights, in parts of 1e9. */
struct shr_x_row {
	pst_id service;
	unsigned int rank;
	unsigned int parts<SHR_X_DOMAINS_MAX>;
};

struct shr_x_splits {
	/* Whether an entry process has reported recently. */
	bool known;
	pst_id domains<SHR_X_DOMAINS_MAX>;
	shr_x_row rows<SHR_X_ROWS_MAX>;
};
