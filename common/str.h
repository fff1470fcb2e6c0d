/*
 * Length-counted strings.
 *
 * A struct str borrows its bytes; it owns nothing and need not end in NUL.
 * A struct strbuf is a fixed-size value that owns its bytes inline and is
 * always NUL-terminated, for identifiers kept inside other structures.
 */
#ifndef COMMON_STR_H
#define COMMON_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest identifier (service, VM, region, failure domain), in bytes. */
#define STR_ID_MAX 63

struct str {
	const char *ptr;
	size_t len;
};

struct strbuf {
	uint8_t len;
	char ptr[STR_ID_MAX + 1];
};

/* Expands to the two arguments of printf("%.*s"). */
#define STR_ARG(s)   (int)(s).len, (s).ptr
#define STR_LIT(lit) ((struct str){.ptr = (lit), .len = sizeof(lit) - 1})

/* Borrows a NUL-terminated string; NULL gives the empty string. */
struct str str_from_c(const char *c);

bool str_eq(struct str a, struct str b);

/* Orders by bytes, then by length, as memcmp() does. */
int str_cmp(struct str a, struct str b);

/* Compares without regard to ASCII case. */
bool str_eq_nocase(struct str a, struct str b);

/* Returns s without the spaces and tabs at both ends. */
struct str str_trim(struct str s);

/*
 * Removes the text up to and including the first c from the front of rest;
 * part is that text without c, trimmed. Returns false, and an empty part,
 * when rest is empty.
 */
bool str_cut(struct str *rest, char c, struct str *part);

/* 64-bit hash (xxh3) with a seed. */
uint64_t str_hash(struct str s, uint64_t seed);

/*
 * Parses the whole string as an unsigned decimal number.
 * Returns 0, or PST_ERR_INVALID when empty, too large or not digits.
 */
int str_to_u64(struct str s, uint64_t *out);

/* Returns 0, or PST_ERR_INVALID when the string is longer than STR_ID_MAX. */
int strbuf_set(struct strbuf *buf, struct str s);

/* Borrows the bytes of buf, valid as long as buf is. */
struct str strbuf_str(const struct strbuf *buf);

bool strbuf_eq(const struct strbuf *a, const struct strbuf *b);

#endif
