/* A caller on a raw socket, for input that no HTTP library would send. */
#ifndef TESTS_FIX_RAW_H
#define TESTS_FIX_RAW_H

#include "common/str.h"

/* Connects to this process's entry. */
int fix_raw_open(void);

void fix_raw_send(int fd, struct str bytes);

/*
 * Reads until the peer closes the connection or, if text is not NULL, until
 * text was read; stops after 5 s without input. Returns a string that is valid
 * until the next call on this thread.
 */
const char *fix_raw_read(int fd, const char *text);

/* Checks that the answer has this status and problem details. */
void fix_raw_problem(const char *got, int status, const char *reason,
		     const char *run);

#endif
