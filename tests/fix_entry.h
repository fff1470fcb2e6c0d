/*
 * An entry on real sockets between a scripted upstream (fix_upstream.h) and
 * libcurl as the caller. The agents are stubs (stub_agents.h), so that only the
 * HTTP server, the routing thread and the upstream thread are under test.
 */
#ifndef TESTS_FIX_ENTRY_H
#define TESTS_FIX_ENTRY_H

#include <check.h>
#include <curl/curl.h>

#include "common/settings.h"

#define FIX_ENTRY_PORT		18080
#define FIX_ENTRY_UPSTREAM_PORT 18090

/* Result of a call. */
struct fix_caller {
	CURLcode code;
	long status;
	size_t bytes;
	/* Every byte matched the pattern of /big. */
	bool pattern_ok;
	char text[2048];
};

/* Settings of the entry, which borrows them. */
extern struct settings fix_entry_set;

/* Runs tests against an entry in this process; to be called by main(). */
int fix_entry_run(const char *module, TCase *tc);

/* Sends one request and waits for its end; upload 0 means no body. */
struct fix_caller fix_entry_call(const char *method, const char *path,
				 const char *header, size_t upload,
				 bool chunked);

/* Collects an answer's body; a CURLOPT_WRITEFUNCTION. */
size_t fix_entry_collect(char *bytes, size_t size, size_t count, void *ctx);

/* Begins a planned stop, as far as callers see it, and ends it. */
void fix_entry_drain(void);
void fix_entry_stop(void);

/* Waits until no request is in progress; checks that no permit is held. */
void fix_entry_wait_idle(void);

#endif
