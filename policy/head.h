/*
 * The head of the table: one small value that every edit swaps, so that a
 * single cheap read tells the newest revision and what changed lately.
 *
 * {"edit":ID,"who":NAME,"when":TIME,"recent":[{"after":R,"keys":[...]},...]}
 * An entry of recent lists the keys changed by the edit that followed the
 * head's revision R, newest first.
 */
#ifndef POLICY_HEAD_H
#define POLICY_HEAD_H

#include "common/str.h"

#define HEAD_KEY "/pst/table/head"

/* Edits listed, and keys listed for one of them. */
#define HEAD_MAX_RECENT 32
#define HEAD_MAX_KEYS	64

/* Who edits, when (RFC 3339) and under which id. */
struct head_edit {
	struct str id;
	struct str who;
	struct str when;
};

/*
 * Makes the value that follows old (empty: none), which has the revision
 * old_revision, after a change of the keys. Returns 0 with *out owned by the
 * caller (free()), or PST_ERR_NOMEM. A malformed old value is started anew.
 */
int head_next(struct str old, uint64_t old_revision,
	      const struct head_edit *edit, const struct str *keys,
	      size_t count, struct str *out);

/*
 * Lists the keys changed after the revision held. Returns 0 with an array
 * of NUL-terminated keys, freed with head_keys_free(); PST_ERR_NOTFOUND when
 * the value does not reach back to held, so that all must be read; or
 * PST_ERR_INVALID or PST_ERR_NOMEM.
 */
int head_keys(struct str value, uint64_t held, char ***out, size_t *count);
void head_keys_free(char **keys, size_t count);

/* Whether the value is of the edit with this id. */
bool head_is_edit(struct str value, struct str id);

#endif
