/*
 * Text format of tickets and of callers' own keys.
 *
 * A ticket is "pst1-" and six hexadecimal fields joined by dashes: home,
 * home's incarnation, witness, witness's incarnation, block and index. Any
 * other text of 1 to TKT_KEY_MAX visible characters is a caller's own key.
 */
#ifndef POLICY_TKT_KEY_H
#define POLICY_TKT_KEY_H

#include "common/str.h"
#include "policy/tkt_types.h"

struct tkt_id {
	/* Process that issued the ticket. */
	uint64_t home;
	uint64_t home_incarnation;
	/* Process that decides which attempt may run it. */
	uint64_t witness;
	uint64_t witness_incarnation;
	uint64_t block;
	uint32_t index;
};

enum tkt_key_kind {
	TKT_KEY_TICKET,
	TKT_KEY_OWN,
};

struct tkt_key {
	enum tkt_key_kind kind;
	union {
		struct tkt_id id;
		/* Not owned: points into the parsed text. */
		struct str own;
	};
};

/* Returns the value of a lower-case hexadecimal digit, or -1. */
int tkt_hex_digit(char c);

/* Hash of a VM's id, by which tickets refer to the VM. */
uint64_t tkt_vm_hash(struct str vm_id);

/* Writes the text and its NUL; returns its length. */
size_t tkt_id_format(const struct tkt_id *id, char out[TKT_KEY_MAX + 1]);

/*
 * Parses a key; an own key points into text. Returns 0, or
 * PST_ERR_TKT_MALFORMED, also for a ticket in a form that tkt_id_format()
 * never writes.
 */
int tkt_key_parse(struct str text, struct tkt_key *out);

uint64_t tkt_key_hash(const struct tkt_key *key);
bool tkt_key_eq(const struct tkt_key *a, const struct tkt_key *b);

#endif
