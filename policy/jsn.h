/* Checked reading of single JSON members. */
#ifndef POLICY_JSN_H
#define POLICY_JSN_H

#include <jansson.h>

#include "common/str.h"

/*
 * Whether s can name a region, failure domain, service or VM: 1 to 63
 * letters, digits, dots, dashes or underscores.
 */
bool jsn_name_valid(struct str s);

/* Copies a name; returns 0 or PST_ERR_INVALID (absent, not a name). */
int jsn_name(const json_t *value, struct strbuf *out);

/* Returns 0 or PST_ERR_INVALID (absent, not a whole number, outside). */
int jsn_u64(const json_t *value, uint64_t min, uint64_t max, uint64_t *out);

/* As jsn_u64() for 32 bits. */
int jsn_u32(const json_t *value, uint32_t min, uint32_t max, uint32_t *out);

/*
 * Whether every member of an object is among the allowed names, of which
 * NULL is the last. Sets *unknown to the first that is not.
 */
bool jsn_members_known(const json_t *object, const char *const *allowed,
		       const char **unknown);

/* Parses a whole text. Returns an owned object, or NULL. */
json_t *jsn_parse(struct str text);

#endif
