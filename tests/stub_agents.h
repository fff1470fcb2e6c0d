/*
 * Stand-ins for the agents of pst-entryd that answer at once, linked into the
 * entry's test programs in place of the agents.
 */
#ifndef TESTS_STUB_AGENTS_H
#define TESTS_STUB_AGENTS_H

#include <stdatomic.h>

#include "agent/ctl.h"
#include "agent/ticket.h"

struct rte;

/* Set before the first request. */
extern struct rte *stub_rte;
extern struct ctl_view stub_view;
extern struct str stub_upstream_ip;
extern uint16_t stub_upstream_port;

/* Index of the domain that is picked: 0 in this region, 1 in another. */
extern int stub_remote;
/* Bytes of a link that are given at a time. */
extern size_t stub_link_piece;
/* Bytes of the link taken and not returned. */
extern atomic_uint_fast64_t stub_taken;
extern atomic_uint stub_granted;
extern atomic_uint stub_released;
extern atomic_uint stub_reported_load;
/* Ends of keys, by enum tkt_end. */
extern atomic_uint stub_ended[3];
extern enum tkt_verdict stub_verdict;

#endif
