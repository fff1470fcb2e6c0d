/*
 * Stubs for the agents of pst-entryd that answer immediately, linked into the
 * entry's test programs in place of the agents.
 */
#ifndef TESTS_STUB_AGENTS_H
#define TESTS_STUB_AGENTS_H

#include <stdatomic.h>

#include "agent/ctl.h"
#include "agent/ticket.h"

struct router;

/* Set before the first request. */
extern struct router *stub_rte;
extern struct ctl_view stub_view;
extern struct str stub_upstream_ip;
extern uint16_t stub_upstream_port;

/* Index of the domain to pick: 0 in the local region, 1 in another. */
extern int stub_remote;
/* Maximum number of bytes of a link granted per call. */
extern size_t stub_link_piece;
/* Bytes of the link granted and not returned. */
extern atomic_uint_fast64_t stub_taken;
extern atomic_uint stub_granted;
extern atomic_uint stub_released;
extern atomic_uint stub_reported_load;
/* Number of ended keys, indexed by enum tkt_end. */
extern atomic_uint stub_ended[3];
extern enum tkt_verdict stub_verdict;

#endif
