/* The table, the VM list and freshness between pst-controld and others. */
%#include "schema/gen/common.h"

const TABLE_KEY_MAX = 512;
const TABLE_VALUE_MAX = 1048576;
const TABLE_PARTS_MAX = 16384;
const TABLE_VMS_MAX = 65536;
const TABLE_DOMAINS_MAX = 1024;
const TABLE_HINTS_MAX = 8;
const TABLE_AGE_NEVER = 0xffffffff;

/* A key of the store, the revision of its last change, and its value. */
struct table_part {
	string key<TABLE_KEY_MAX>;
	unsigned hyper mod_revision;
	opaque value<TABLE_VALUE_MAX>;
};

struct table_vm {
	pst_id id;
	unsigned int kind;
	unsigned int state;
	bool stopping;
	pst_id region;
	pst_id domain;
	pst_id address;
	pst_id service;
	unsigned int port;
	unsigned int slots;
};

struct table_list {
	unsigned hyper revision;
	table_vm vms<TABLE_VMS_MAX>;
};

/* The changes from one revision of the platform's list to a later one. */
struct table_delta {
	/* 0: vms is the whole list. */
	unsigned hyper previous;
	unsigned hyper revision;
	table_vm vms<TABLE_VMS_MAX>;
	pst_id gone<TABLE_VMS_MAX>;
};

/* Entry VMs of one failure domain from which its relays get no heartbeat. */
struct table_absent {
	pst_id domain;
	unsigned int age_ms;
	pst_id vms<TABLE_VMS_MAX>;
};

/* Whether a VM's pst-entryd has begun a planned stop; see policy/liveness_mark.h. */
struct table_mark {
	pst_id vm;
	unsigned hyper count;
	unsigned hyper client;
	bool leaving;
};

/* The table of one pst-controld and its freshness. */
struct table_status {
	pst_id vm;
	unsigned hyper incarnation;
	unsigned hyper revision;
	/* Lowest revision still used by a process that this one serves. */
	unsigned hyper in_force;
	/* Age of the latest confirmation that revision is the newest. */
	unsigned int confirmed_age_ms;
	/* The revision counts in a majority of failure domains. */
	bool voter;
	bool relay;
	bool store_reachable;
	bool fresh;
};

/* Whether the asking process serves callers of the VM. */
enum table_serves {
	TABLE_SERVES_NOTHING = 0,
	/* A pst-entryd whose port is open. */
	TABLE_SERVES_ENTRY = 1,
	/* A pst-entryd that has begun a planned stop. */
	TABLE_SERVES_LEAVING = 2
};

/* Asks for the parts changed after a revision. */
struct table_ask {
	pst_id from;
	/* Identifies the asking process in TABLE_VIEW; 0 in TABLE_SYNC. */
	unsigned hyper client;
	table_serves serves;
	unsigned hyper held;
	unsigned hyper after;
	unsigned hyper list_incarnation;
	unsigned hyper list_revision;
	/*
	 * TABLE_VIEW only: addresses of other entry VMs, for a pst-controld
	 * that has no VM list.
	 */
	pst_id hints<TABLE_HINTS_MAX>;
};

struct table_answer {
	table_status status;
	/* Ask again with the last part's revision as after. */
	bool more;
	table_part parts<TABLE_PARTS_MAX>;
	/* TABLE_VIEW only: the corrected list, when it has changed. */
	unsigned hyper list_incarnation;
	table_list *list;
	/* TABLE_SYNC only: changes of the platform's list since the asker's. */
	table_delta *delta;
	table_absent absents<TABLE_DOMAINS_MAX>;
	table_mark marks<TABLE_VMS_MAX>;
};

/*
 * All parts changed after the revision previous, up to revision. Some of them
 * may have changed again later.
 */
struct table_change {
	pst_id from;
	unsigned hyper previous;
	unsigned hyper revision;
	table_part parts<TABLE_PARTS_MAX>;
	/* A change of the platform's list. */
	table_delta *delta;
};

/* Marks that have changed. */
struct table_marks {
	pst_id from;
	table_mark marks<TABLE_VMS_MAX>;
};

program TABLE_PROGRAM {
	version TABLE_VERSION {
		/* Between pst-controlds; answers with the platform's list. */
		table_answer TABLE_SYNC(table_ask) = 1;
		/*
		 * For pst-entryd and pst-lookupd; answers with the corrected
		 * list.
		 */
		table_answer TABLE_VIEW(table_ask) = 2;
		/* One way. */
		void TABLE_PUSH(table_change) = 3;
		table_status TABLE_STATUS(void) = 4;
		/* One way. */
		void TABLE_MARKS(table_marks) = 5;
	} = 1;
} = 0x20505305;
