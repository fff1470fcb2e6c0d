/* Writes edits to the store, each with its record and a new head. */
#ifndef PSTCTL_WRITE_H
#define PSTCTL_WRITE_H

#include <jansson.h>

#include "pstctl/cmd.h"

struct write_edit {
	char id[EDIT_ID_SIZE];
	char when[32];
	const char *who;
};

/* Sets a random id, the wall-clock time and who, which is borrowed. */
void write_begin(struct write_edit *edit, const char *who);

/*
 * Swaps the changed keys, the head and the edit's record in one transaction.
 * head may have no item. cells is the list of cells for the record, borrowed.
 * Returns what kvclient_swap_all() does, or PST_ERR_NOMEM. Afterwards expired
 * records are deleted; if that fails, the next edit deletes them.
 */
int write_commit(struct cmd *cmd, const struct write_edit *edit,
		 const struct kvclient_list *head,
		 const struct kvclient_change *changes, size_t count,
		 const json_t *cells, uint64_t *revision);

/* Looks for the edit's record. Returns 0 or PST_ERR_UNAVAILABLE. */
int write_find(struct cmd *cmd, const struct write_edit *edit, bool *found,
	       uint64_t *revision);

/*
 * Carries out an edit of one cell. On return, edit->step is DONE, REFUSED or
 * UNKNOWN; problem is filled in when edit->err is PST_ERR_INVALID.
 */
void write_cell(struct cmd *cmd, struct edit *edit, uint64_t value,
		struct tbl_problem *problem);

#endif
