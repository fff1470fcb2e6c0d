/* The accounts that this VM keeps: grants, and tokens pulled and given. */
#ifndef STEERD_ACCTBOOK_H
#define STEERD_ACCTBOOK_H

#include "steerd/acct_state.h"

/*
 * Answers ask id of a VM from this VM's account of the tenant, whose record is
 * up to date. Returns 0 or PST_ERR_NOMEM.
 */
int acctbook_grant(struct acct_tenant *tenant, int vm, uint32_t id,
		   unsigned wanted, struct account_answer *out);

/* Asks other accounts for tokens, if that is due. */
void acctbook_pull(struct acct_tenant *tenant);

/* Gives the account its place in an order that has changed. */
void acctbook_set_place(struct acct_tenant *tenant);

/* Sets when the account may use its share, as what others know has changed. */
void acctbook_bar(struct acct_tenant *tenant);

/* Frees the account. */
void acctbook_drop(struct acct_tenant *tenant);

/* Handles a datagram of the VM with this index in the list. */
void acctbook_receive(struct accounts *accounts, int vm,
		      const struct acctmsg_batch *batch);

#endif
