/*
 * An HTTP server that ends its connections within an answer: after each byte
 * of it in turn, by a close or by a reset.
 */
#ifndef TESTS_FIX_CUT_H
#define TESTS_FIX_CUT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

struct fix_cut {
	struct str answer;
	/* Bytes of the answer that are sent before the connection ends. */
	size_t bytes;
	/* The connection ends by a reset, not by a close. */
	bool reset;
	/* Answers sent whole before; those with a length keep it open. */
	unsigned whole;
};

/* Listens on ip:port until the process ends. */
void fix_cut_start(struct str ip, uint16_t port);

/* Sets what is done with the next requests; to be called between requests. */
void fix_cut_set(const struct fix_cut *cut);

/*
 * Calls check for each cut of the answer, closed and reset, on a new and on a
 * kept connection. The answer is whole if bytes is its length.
 */
void fix_cut_each(struct str answer, void (*check)(const struct fix_cut *cut));

#endif
