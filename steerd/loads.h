/* Exchanges load reports with VMs of the same domain, in datagrams. */
#ifndef STEERD_LOADS_H
#define STEERD_LOADS_H

#include "policy/peerload.h"
#include "steerd/peersock.h"

struct loads {
	struct st *st;
	struct peersock *sock;
	/* Runs while a batch gathers. */
	struct ev_timer timer;
	/* Reports of the next batch. */
	struct peerload peerload;
};

/* Exchanges reports by the socket. */
void loads_start(struct loads *loads, struct st *st, struct peersock *sock);

/* Queues a load report of an upstream for other VMs, if it is of use there. */
void loads_share(struct loads *loads, const struct up *up,
		 const struct up_load_report *load, apr_time_t now);

#endif
