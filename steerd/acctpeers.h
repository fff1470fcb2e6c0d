/*
 * Whether this VM may use the shares that its list of VMs gives it
 * (policy/accthold), and the datagrams by which VMs ask each other what they
 * last heard of the store. None is sent while the store answers, but for some
 * seconds after this VM has joined the list.
 */
#ifndef STEERD_ACCTPEERS_H
#define STEERD_ACCTPEERS_H

#include "steerd/acct_state.h"

/* Starts to answer other VMs. sock may be NULL. */
void acctpeers_start(struct accounts *accounts, struct peersock *sock);

/*
 * Asks other VMs if that is due, and decides anew; to be called several times
 * per second. Returns whether the shares that may be used have changed.
 */
bool acctpeers_beat(struct accounts *accounts);

/* When this VM may use its share of the tenant, by the order in force. */
apr_time_t acctpeers_usable_at(const struct acct_tenant *tenant);

#endif
