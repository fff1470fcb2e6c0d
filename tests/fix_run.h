/* Runs one module's test case in this process, without forking. */
#ifndef TESTS_FIX_RUN_H
#define TESTS_FIX_RUN_H

#include <check.h>

#include "common/str.h"

/* Takes ownership of tc. Returns the exit status for main(). */
int fix_run(const char *module, TCase *tc);

/*
 * A loopback address of this process's own, so that programs run side by
 * side can use the same ports; valid until the process ends.
 */
struct str fix_ip(void);

#endif
