/*
 * An entry on real sockets between a scripted upstream (fix_upstream.h) and
 * libcurl as the caller. The agents are stand-ins (stub_agents.h), so that
 * only front, route, upstream thread and path are at work.
 */
#ifndef TESTS_FIX_ENTRY_H
#define TESTS_FIX_ENTRY_H

#include <check.h>
#include <curl/curl.h>

#include "common/settings.h"

#define FIX_ENTRY_PORT		18080
#define FIX_ENTRY_UPSTREAM_PORT 18090

/* What a caller got. */
struct fix_caller {
	CURLcode code;
	long status;
	size_t bytes;
	/* Every byte was that of /big. */
	bool pattern_ok;
	char text[2048];
};

/* Settings in force; borrowed by the entry. */
extern struct settings fix_entry_set;

/* Runs tests against an entry started in this process; for main(). */
int fix_entry_run(const char *module, TCase *tc);

/* Sends one request and waits for its end; upload 0 means no body. */
struct fix_caller fix_entry_call(const char *method, const char *path,
				 const char *header, size_t upload,
				 bool chunked);

/* Collects an answer's body; a CURLOPT_WRITEFUNCTION. */
size_t fix_entry_bytes(char *bytes, size_t size, size_t count, void *ctx);

/* Waits until no request is inside, and checks that no permit is held. */
void fix_entry_wait_idle(void);

#endif
