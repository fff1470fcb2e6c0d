/*
 * Reads and checks the settings file.
 *
 * The structures, defaults and limits are generated from schema/settings
 * into schema/gen/settings_gen.h. A loaded struct settings never changes.
 */
#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include "schema/gen/settings_gen.h"

/* Where and why a settings file was refused. */
struct settings_problem {
	/* 1-based line, or 0 when no line applies. */
	size_t line;
	char key[STR_ID_MAX + 1];
	char reason[256];
};

/*
 * Loads path. On success *out is owned by the caller. On failure returns
 * PST_ERR_SETTINGS_OPEN, _SYNTAX or _RANGE and fills in problem, or returns
 * PST_ERR_NOMEM.
 */
int settings_load(const char *path, struct settings **out,
		  struct settings_problem *problem);

/* Frees loaded settings. NULL is allowed. */
void settings_free(struct settings *set);

#endif
