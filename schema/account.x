/*
 * Datagrams by which VMs ask for permits of tenants and grant them, and by
 * which the accounts of a tenant pull tokens from each other. Tenants are named
 * by a hash of their names, which all VMs compute alike.
 */

/*
 * First field of each datagram: datagrams of other senders or versions have
 * another value.
 */
const ACT_X_KIND = 0x70737432;

/* Most messages of each sort in a datagram of 1,024 bytes. */
const ACT_X_MOST_ASKS = 25;
const ACT_X_MOST_GRANTS = 41;
const ACT_X_MOST_PULLS = 22;
const ACT_X_MOST_GIVES = 27;

/* Asks a tenant's account for permits. */
struct act_x_ask {
	unsigned int id;
	unsigned hyper tenant;
	unsigned int wanted;
	/* The limit that the sender knows, and the version of its manifest. */
	unsigned hyper manifest;
	double rate;
	double burst;
};

/* Answers the ask with this id. */
struct act_x_grant {
	unsigned int id;
	unsigned hyper tenant;
	unsigned int permits;
	/*
	 * If permits is 0: time until there may be one, in microseconds; 0:
	 * the sender knows no such tenant.
	 */
	unsigned int retry_after_us;
	/* If permits is 0: the account asks others; ask again then. */
	bool pending;
};

/* Asks another account of the tenant for tokens. */
struct act_x_pull {
	unsigned int id;
	unsigned hyper tenant;
	/* Tokens that the sender can take, has, and uses per second. */
	double wanted;
	double tokens;
	double per_s;
	/* Requests that wait for a token. */
	double unmet;
};

/* Answers the pull with this id. */
struct act_x_give {
	unsigned int id;
	unsigned hyper tenant;
	/* Tokens given, and those that the sender keeps and uses per second. */
	double tokens;
	double left;
	double per_s;
};

/* Kind of act_x_state, which earlier versions drop. */
const ACT_X_STATE_KIND = 0x70737433;

/* What a VM knows of the store, or a question for it. */
struct act_x_state {
	unsigned int kind;
	bool is_question;
	/*
	 * Age of its list of VMs, and of what it last heard from the store, in
	 * milliseconds. 0 in a question, as is the next one.
	 */
	unsigned int list_age_ms;
	unsigned int store_age_ms;
	/* It joined the list so long ago that it waits for nothing. */
	bool is_settled;
};

struct act_x_batch {
	unsigned int kind;
	act_x_ask asks<ACT_X_MOST_ASKS>;
	act_x_grant grants<ACT_X_MOST_GRANTS>;
	act_x_pull pulls<ACT_X_MOST_PULLS>;
	act_x_give gives<ACT_X_MOST_GIVES>;
};
