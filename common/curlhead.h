/*
 * Notices an HTTP answer whose head was cut by the end of its connection;
 * libcurl 7.88 reports success for it, with the status of the first line.
 */
#ifndef COMMON_CURLHEAD_H
#define COMMON_CURLHEAD_H

#include <curl/curl.h>
#include <stdbool.h>

struct curlhead {
	CURL *easy;
	/* The whole head of a final answer has arrived. */
	bool complete;
};

/* Watches the next transfer of easy; takes its CURLOPT_HEADERFUNCTION. */
void curlhead_watch(struct curlhead *head, CURL *easy);

/* The transfer's result: CURLE_PARTIAL_FILE for success with a cut head. */
CURLcode curlhead_result(const struct curlhead *head, CURLcode code);

#endif
