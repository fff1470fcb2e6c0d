#include "agent/lst.h"

#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "agent/hbuf.h"
#include "common/err.h"
#include "common/wire.h"

/* Largest list accepted, in bytes. */
#define MAX_LIST ((size_t)32 * 1024 * 1024)

#define HTTP_OK	 200
#define TEXT_MAX 512

static int fetch(CURL *easy, const struct settings *set, struct hbuf *body,
		 long *status)
{
	char url[TEXT_MAX];
	char from[TEXT_MAX];

	snprintf(url, sizeof(url), "%.*s", STR_ARG(set->platform.list_url));
	snprintf(from, sizeof(from), "host!%.*s", STR_ARG(set->vm.address));
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_INTERFACE, from);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)set->platform.call_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, hbuf_keep);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(easy) != CURLE_OK)
		return PST_ERR_UNAVAILABLE;
	wire_count_http("list", easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	return *status == HTTP_OK ? 0 : PST_ERR_UNAVAILABLE;
}

int lst_read(const struct settings *set, struct vml **out, long *status)
{
	CURL *easy = curl_easy_init();
	struct hbuf body = {.max = MAX_LIST};
	int err;

	*status = 0;
	if (!easy)
		return PST_ERR_NOMEM;
	err = fetch(easy, set, &body, status);
	if (!err)
		err = vml_parse(out,
				(struct str){.ptr = body.ptr, .len = body.len});
	free(body.ptr);
	curl_easy_cleanup(easy);
	return err;
}
