/*
 * The head of the table: one small key that every edit writes, so that a
 * single cheap read returns the newest revision and the recent changes.
 *
 * {"edit":ID,"who":NAME,"when":TIME,"recent":[{"after":R,"keys":[...]},...]}
 * An entry of recent lists the keys changed by the edit that was made when the
 * head had the revision R. The newest entry is the first.
 */
#ifndef POLICY_HEAD_H
#define POLICY_HEAD_H

#include "common/str.h"

#define HEAD_KEY "/pst/table/head"

/* Most edits listed, and most keys listed for one edit. */
#define HEAD_MAX_RECENT 32
#define HEAD_MAX_KEYS	64

/* The origin of an edit. */
struct head_edit {
	struct str id;
	struct str who;
	/* RFC 3339 time. */
	struct str when;
};

/*
 * Makes the head's value after an edit of these keys. old is the present value,
 * of the revision old_revision; if it is empty or malformed, the list of recent
 * edits starts anew. Returns 0 with *out owned by the caller (free()), or
 * PST_ERR_NOMEM.
 */
int head_next(struct str old, uint64_t old_revision,
	      const struct head_edit *edit, const struct str *keys,
	      size_t count, struct str *out);

/*
 * Lists the keys changed after the revision held. Returns 0 with an array of
 * NUL-terminated keys, freed with head_keys_free(); PST_ERR_NOTFOUND when the
 * head doesn't list all edits since held, so that the caller must read all
 * keys; PST_ERR_INVALID or PST_ERR_NOMEM.
 */
int head_keys(struct str value, uint64_t held, char ***out, size_t *count);
void head_keys_free(char **keys, size_t count);

/* Whether the head was last written by the edit with this id. */
bool head_is_edit(struct str value, struct str id);

#endif
