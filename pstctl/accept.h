/* Waits until an edit is accepted: in force on every VM that takes work. */
#ifndef PSTCTL_ACCEPT_H
#define PSTCTL_ACCEPT_H

#include "pstctl/cmd.h"

struct accept_result {
	bool accepted;
	/* From the write's start to acceptance, or -1. */
	apr_interval_time_t accepted_after;
	/* From the write's start until the last VM confirmed, or -1. */
	apr_interval_time_t whole_after;
	size_t vms;
	size_t vms_holding;
	size_t domains;
	size_t domains_whole;
	/* Names of the VMs that did not confirm, cut to the space. */
	char silent[512];
};

/*
 * Asks every entry VM of the platform's list what it holds. began is when
 * the write was sent. Waits for acceptance, and with cmd->wait for every VM,
 * until a bound of two freshness timeouts. Returns 0, also when the edit is
 * not accepted, or PST_ERR_UNAVAILABLE when there is no list.
 */
int accept_wait(struct cmd *cmd, uint64_t revision, apr_time_t began,
		struct accept_result *out);

#endif
