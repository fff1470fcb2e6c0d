/*
 * Format of the claim of a caller's own key in the store.
 *
 * The value identifies the attempt that owns the key. A claim is written once,
 * by create-if-absent, so that the first claim decides the owner.
 */
#ifndef POLICY_TKT_CLAIM_H
#define POLICY_TKT_CLAIM_H

#include "common/str.h"
#include "policy/tkt_types.h"

/* Maximum length of a value in bytes, without the final NUL. */
#define TKT_CLAIM_MAX 63

/* Writes the value and its NUL; returns its length. */
size_t tkt_claim_format(const struct tkt_owner *owner,
			char out[TKT_CLAIM_MAX + 1]);

/* Returns 0 or PST_ERR_INVALID. */
int tkt_claim_parse(struct str value, struct tkt_owner *out);

/*
 * Returns the ruling for owner that follows from the value found under a key
 * after owner's write was refused or went unanswered.
 */
struct tkt_ruling tkt_claim_read(struct str value,
				 const struct tkt_owner *owner);

#endif
