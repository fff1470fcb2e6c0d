/* Parsing and validation of JSON texts and of single members. */
#ifndef POLICY_JSONREAD_H
#define POLICY_JSONREAD_H

#include <jansson.h>

#include "common/str.h"

/*
 * Whether s can name a region, failure domain, service or VM: 1 to 63
 * letters, digits, dots, dashes or underscores.
 */
bool jsonread_name_valid(struct str s);

/* Copies a name. Returns 0, or PST_ERR_INVALID if value is not a name. */
int jsonread_name(const json_t *value, struct strbuf *out);

/*
 * Reads a number. Returns 0, or PST_ERR_INVALID if value is NULL, not an
 * integer, or not within min and max.
 */
int jsonread_u64(const json_t *value, uint64_t min, uint64_t max,
		 uint64_t *out);

/* Like jsonread_u64(), for 32 bits. */
int jsonread_u32(const json_t *value, uint32_t min, uint32_t max,
		 uint32_t *out);

/*
 * Whether the name of every member of an object is in allowed, a
 * NULL-terminated array. Otherwise sets *unknown to the first that is not,
 * borrowed from the object.
 */
bool jsonread_members_known(const json_t *object, const char *const *allowed,
			    const char **unknown);

/*
 * Parses a JSON object; duplicate members are an error. Returns a reference
 * owned by the caller, or NULL.
 */
json_t *jsonread_parse(struct str text);

#endif
