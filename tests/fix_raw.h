/* A caller on a raw socket, for input that no HTTP library would send. */
#ifndef TESTS_FIX_RAW_H
#define TESTS_FIX_RAW_H

#include "common/str.h"

/* Connects to this process's entry. */
int fix_raw_open(void);

void fix_raw_send(int fd, struct str bytes);

/*
 * Reads until the other side closes, or until text was seen if it is not
 * NULL; waits 5 s at most. Returns a string that is valid until the next
 * call on this thread.
 */
const char *fix_raw_read(int fd, const char *text);

/* Checks that the answer has the status and is a problem with these parts. */
void fix_raw_problem(const char *got, int status, const char *reason,
		     const char *run);

#endif
