/* Drives libcurl transfers from a libev event loop. */
#ifndef COMMON_CURLLOOP_H
#define COMMON_CURLLOOP_H

#include <curl/curl.h>
#include <ev.h>

/*
 * Called when a transfer has ended; private is its CURLOPT_PRIVATE. The
 * callback may remove the transfer.
 */
typedef void curlloop_finished_fn(void *private, CURLcode code);

struct curlloop {
	struct ev_loop *loop;
	CURLM *multi;
	struct ev_timer timer;
	curlloop_finished_fn *ended;
};

/*
 * Borrows loop; curlloop must stay at the same address. Returns 0 or
 * PST_ERR_HTTP.
 */
int curlloop_init(struct curlloop *curlloop, struct ev_loop *loop,
		  curlloop_finished_fn *ended);

/* Every transfer must have been removed before. */
void curlloop_done(struct curlloop *curlloop);

/* Starts a transfer, which runs on the loop until it ends or is removed. */
void curlloop_add(struct curlloop *curlloop, CURL *easy);
void curlloop_remove(struct curlloop *curlloop, CURL *easy);

#endif
