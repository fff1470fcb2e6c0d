#include "policy/tkt_claim.h"

#include <inttypes.h>
#include <stdio.h>

#include "common/err.h"
#include "policy/tkt_key.h"

#define FORMAT "%016" PRIx64 "-%016" PRIx64 "-%016" PRIx64
#define DIGITS 16

static bool parse_field(const char *text, uint64_t *out)
{
	*out = 0;
	for (size_t i = 0; i < DIGITS; i++) {
		const int digit = tkt_hex_digit(text[i]);

		if (digit < 0)
			return false;
		*out = *out << 4 | (uint64_t)digit;
	}
	return true;
}

size_t tkt_claim_format(const struct tkt_owner *owner,
			char out[TKT_CLAIM_MAX + 1])
{
	return (size_t)snprintf(out, TKT_CLAIM_MAX + 1, FORMAT, owner->vm,
				owner->incarnation, owner->attempt);
}

int tkt_claim_parse(struct str value, struct tkt_owner *out)
{
	const size_t step = DIGITS + 1;

	if (value.len != 3 * DIGITS + 2)
		return PST_ERR_INVALID;
	if (value.ptr[DIGITS] != '-' || value.ptr[step + DIGITS] != '-')
		return PST_ERR_INVALID;
	if (!parse_field(value.ptr, &out->vm) ||
	    !parse_field(value.ptr + step, &out->incarnation) ||
	    !parse_field(value.ptr + 2 * step, &out->attempt))
		return PST_ERR_INVALID;
	return 0;
}

struct tkt_ruling tkt_claim_read(struct str value,
				 const struct tkt_owner *owner)
{
	struct tkt_ruling ruling = {.grant = TKT_GRANT_OTHER};

	/* Not in the format of a claim: the owner cannot be asked. */
	if (tkt_claim_parse(value, &ruling.owner))
		return (struct tkt_ruling){.grant = TKT_GRANT_OTHER};
	if (tkt_owner_eq(&ruling.owner, owner))
		ruling.grant = TKT_GRANT_YOURS;
	return ruling;
}
