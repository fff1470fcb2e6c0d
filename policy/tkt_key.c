#include "policy/tkt_key.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/err.h"

#define PREFIX		   STR_LIT("pst1-")
#define FIELDS		   6
#define VM_SEED		   UINT64_C(0x706973742d766d31)
#define KEY_SEED	   UINT64_C(0x706973742d6b6579)
#define FIRST_VISIBLE_CHAR 0x21
#define LAST_VISIBLE_CHAR  0x7e

/* Parses a hexadecimal field without leading zeros, up to a dash or the end. */
static bool parse_hex_field(struct str *rest, uint64_t *out)
{
	size_t n = 0;

	*out = 0;
	while (n < rest->len && rest->ptr[n] != '-') {
		const int digit = tkt_hex_digit(rest->ptr[n]);

		if (digit < 0 || n == 16)
			return false;
		*out = *out << 4 | (uint64_t)digit;
		n++;
	}
	if (n == 0 || (n > 1 && rest->ptr[0] == '0'))
		return false;
	rest->ptr += n;
	rest->len -= n;
	return true;
}

static bool skip_dash(struct str *rest)
{
	if (!rest->len || rest->ptr[0] != '-')
		return false;
	rest->ptr++;
	rest->len--;
	return true;
}

static int parse_ticket(struct str rest, struct tkt_id *id)
{
	uint64_t field[FIELDS];

	for (size_t i = 0; i < FIELDS; i++) {
		if (i > 0 && !skip_dash(&rest))
			return PST_ERR_TKT_MALFORMED;
		if (!parse_hex_field(&rest, &field[i]))
			return PST_ERR_TKT_MALFORMED;
	}
	if (rest.len || field[5] > UINT32_MAX)
		return PST_ERR_TKT_MALFORMED;
	*id = (struct tkt_id){
		.home = field[0],
		.home_incarnation = field[1],
		.witness = field[2],
		.witness_incarnation = field[3],
		.block = field[4],
		.index = (uint32_t)field[5],
	};
	return 0;
}

static bool is_visible(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		const unsigned char c = (unsigned char)text.ptr[i];

		if (c < FIRST_VISIBLE_CHAR || c > LAST_VISIBLE_CHAR)
			return false;
	}
	return true;
}

bool tkt_owner_eq(const struct tkt_owner *a, const struct tkt_owner *b)
{
	return a->vm == b->vm && a->incarnation == b->incarnation &&
	       a->attempt == b->attempt;
}

int tkt_hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

uint64_t tkt_vm_hash(struct str vm_id)
{
	return str_hash(vm_id, VM_SEED);
}

size_t tkt_id_format(const struct tkt_id *id, char out[TKT_KEY_MAX + 1])
{
	const int n = snprintf(out, TKT_KEY_MAX + 1,
			       "pst1-%" PRIx64 "-%" PRIx64 "-%" PRIx64
			       "-%" PRIx64 "-%" PRIx64 "-%" PRIx32,
			       id->home, id->home_incarnation, id->witness,
			       id->witness_incarnation, id->block, id->index);

	return (size_t)n;
}

int tkt_key_parse(struct str text, struct tkt_key *out)
{
	const struct str prefix = PREFIX;

	if (!text.len || text.len > TKT_KEY_MAX || !is_visible(text))
		return PST_ERR_TKT_MALFORMED;
	if (text.len < prefix.len ||
	    memcmp(text.ptr, prefix.ptr, prefix.len) != 0) {
		*out = (struct tkt_key){.kind = TKT_KEY_OWN, .own = text};
		return 0;
	}
	*out = (struct tkt_key){.kind = TKT_KEY_TICKET};
	text.ptr += prefix.len;
	text.len -= prefix.len;
	return parse_ticket(text, &out->id);
}

uint64_t tkt_key_hash(const struct tkt_key *key)
{
	struct str bytes;

	if (key->kind == TKT_KEY_OWN)
		return str_hash(key->own, KEY_SEED);
	bytes.ptr = (const char *)&key->id;
	bytes.len = offsetof(struct tkt_id, index) + sizeof(key->id.index);
	return str_hash(bytes, KEY_SEED);
}

bool tkt_key_eq(const struct tkt_key *a, const struct tkt_key *b)
{
	if (a->kind != b->kind)
		return false;
	if (a->kind == TKT_KEY_OWN)
		return str_eq(a->own, b->own);
	return a->id.home == b->id.home &&
	       a->id.home_incarnation == b->id.home_incarnation &&
	       a->id.witness == b->id.witness &&
	       a->id.witness_incarnation == b->id.witness_incarnation &&
	       a->id.block == b->id.block && a->id.index == b->id.index;
}
