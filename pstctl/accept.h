/* Waits until an edit is accepted: in force on every VM that takes requests. */
#ifndef PSTCTL_ACCEPT_H
#define PSTCTL_ACCEPT_H

#include "pstctl/cmd.h"

struct accept_result {
	bool accepted;
	/* From the write's start to acceptance, or -1. */
	apr_interval_time_t accepted_after;
	/* From the write's start until the last VM confirmed, or -1. */
	apr_interval_time_t confirmed_after;
	size_t vms;
	size_t vms_holding;
	size_t domains;
	size_t domains_whole;
	/* Names of the VMs that did not confirm, truncated to the buffer. */
	char silent[512];
};

/*
 * Polls every entry VM of the platform's list for the revision it holds.
 * began is when the write was sent. Waits for acceptance, and with cmd->wait
 * for every VM, for at most two freshness time-outs. Returns 0, also when the
 * edit is not accepted, or PST_ERR_UNAVAILABLE when the list of VMs could not
 * be read.
 */
int accept_wait(struct cmd *cmd, uint64_t revision, apr_time_t began,
		struct accept_result *out);

#endif
