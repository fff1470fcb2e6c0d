/* The commands of pstctl; each returns an exit status (enum cli_exit). */
#ifndef PSTCTL_CMD_H
#define PSTCTL_CMD_H

#include "agent/kvclient.h"
#include "common/cli.h"
#include "policy/edit.h"
#include "policy/vmlist.h"

struct cmd {
	const struct settings *set;
	const struct clk *clk;
	struct kvclient *kvclient;
	bool json;
	/* Name of the operator, stored in the record of each edit. */
	const char *by;
	/* Whether to wait until every live VM confirms an edit. */
	bool wait;
	/* For "config check"; NULL, false: not given. */
	const char *against;
	const char *upstreams;
	bool strict;
	/* The only service that "table show" prints; NULL for all. */
	const char *service;
};

int cmd_table_show(struct cmd *cmd);
int cmd_table_set(struct cmd *cmd, const char *service, const char *rank,
		  const char *cell, const char *value);
int cmd_table_load(struct cmd *cmd, const char *path);
int cmd_table_check(struct cmd *cmd, const char *path);
int cmd_history(struct cmd *cmd);
int cmd_drain(struct cmd *cmd, const char *vm, bool drain);
int cmd_status(struct cmd *cmd);
int cmd_explain(struct cmd *cmd, const char *id);
/* Reads collected logs: a file, or each file of a directory. */
int cmd_explain_logs(const char *id, const char *path);
/* As cmd_explain_logs(), for the id of an upstream. */
int cmd_explain_upstream(const char *id, const char *path);

/*
 * Waits until a written edit is accepted and prints the result. began is when
 * the write was begun.
 */
int cmd_report_edit(struct cmd *cmd, uint64_t revision, apr_time_t began);

/* Prints "pstctl: what: text of err (name of err)" to standard error. */
void cmd_print_error(const char *what, int err);

/* Returns the exit status for an error. */
int cmd_exit_status(int err);

#endif
