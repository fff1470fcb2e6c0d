/* Exchanges load reports with VMs of the same domain, in datagrams. */
#ifndef STEERD_LOADS_H
#define STEERD_LOADS_H

#include "policy/peerload.h"
#include "steerd/st.h"

struct loads {
	struct st *st;
	struct ev_io io;
	/* Runs while a batch gathers. */
	struct ev_timer timer;
	int fd;
	/* Reports of the next batch. */
	struct peerload peerload;
};

/* Starts to receive at the address. Returns 0 or PST_ERR_IO. */
int loads_start(struct loads *loads, struct st *st,
		const struct sockaddr_in *addr);

/* Queues a load report of an upstream for other VMs, if it is of use there. */
void loads_share(struct loads *loads, const struct up *up,
		 const struct up_load_report *load, apr_time_t now);

#endif
