/* Drives libcurl transfers from a libev event loop. */
#ifndef COMMON_CUL_H
#define COMMON_CUL_H

#include <curl/curl.h>
#include <ev.h>

/*
 * Called when a transfer has ended; private is its CURLOPT_PRIVATE. The
 * callback may remove the transfer.
 */
typedef void cul_finished_fn(void *private, CURLcode code);

struct cul {
	struct ev_loop *loop;
	CURLM *multi;
	struct ev_timer timer;
	cul_finished_fn *ended;
};

/*
 * Borrows loop; cul must stay at the same address. Returns 0 or
 * PST_ERR_HTTP.
 */
int cul_init(struct cul *cul, struct ev_loop *loop, cul_finished_fn *ended);

/* Every transfer must have been removed before. */
void cul_done(struct cul *cul);

/* Starts a transfer, which runs on the loop until it ends or is removed. */
void cul_add(struct cul *cul, CURL *easy);
void cul_remove(struct cul *cul, CURL *easy);

#endif
