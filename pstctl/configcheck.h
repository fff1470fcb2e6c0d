/*
 * Checks a manifest before it is sent: reads it as pst-steerd does, and says
 * what would be refused, what can't take effect and what changes. Needs neither
 * the network nor settings.
 */
#ifndef PSTCTL_CONFIGCHECK_H
#define PSTCTL_CONFIGCHECK_H

#include <stdbool.h>
#include <stdio.h>

/* Exit statuses besides CLI_EXIT_OK. */
#define CONFIGCHECK_EXIT_WARNINGS 1
#define CONFIGCHECK_EXIT_ERRORS	  2

struct configcheck {
	const char *path;
	/* Manifest to compare with, and list of upstreams; NULL: none. */
	const char *against;
	const char *upstreams;
	bool json;
	/* Warnings change the exit status. */
	bool strict;
};

/* Prints what it finds to out. Returns the exit status. */
int configcheck_run(const struct configcheck *options, FILE *out);

#endif
