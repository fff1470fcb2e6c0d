/* Writes edits to the store, with their record and the head. */
#ifndef PSTCTL_WRITE_H
#define PSTCTL_WRITE_H

#include <jansson.h>

#include "pstctl/cmd.h"

struct write_edit {
	char id[EDIT_ID_SIZE];
	char when[32];
	const char *who;
};

/* Draws an id and reads the wall clock. */
void write_begin(struct write_edit *edit, const char *who);

/*
 * Swaps the changed keys, the head and the edit's record at once. head may
 * have no item. cells is borrowed: the list of cells for the record. Returns
 * what stc_swap_all() does. Afterwards expired records are deleted; a failure
 * of that is left to the next edit.
 */
int write_commit(struct cmd *cmd, const struct write_edit *edit,
		 const struct stc_list *head, const struct stc_change *changes,
		 size_t count, const json_t *cells, uint64_t *revision);

/* Looks for the edit's record. Returns 0 or PST_ERR_UNAVAILABLE. */
int write_find(struct cmd *cmd, const struct write_edit *edit, bool *found,
	       uint64_t *revision);

/*
 * Carries out an edit of one cell: edit->step is DONE, REFUSED or UNKNOWN
 * after it. problem is filled in when err is PST_ERR_INVALID.
 */
void write_cell(struct cmd *cmd, struct edit *edit, uint64_t value,
		struct tbl_problem *problem);

#endif
