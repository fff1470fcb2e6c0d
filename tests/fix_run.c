#include "tests/fix_run.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

int fix_run(const char *module, TCase *tc)
{
	Suite *suite = suite_create(module);
	SRunner *runner;
	int failed;

	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

struct str fix_ip(void)
{
	static char text[32];
	const unsigned pid = (unsigned)getpid();

	snprintf(text, sizeof(text), "127.%u.%u.1", 251 + pid / 250 % 4,
		 1 + pid % 250);
	return str_from_c(text);
}
