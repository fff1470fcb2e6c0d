#include "pstctl/fetch.h"

#include <curl/curl.h>

#include "common/curlhead.h"
#include "common/err.h"

#define HTTP_OK 200

int fetch_page(const char *url, const char *from, long timeout_ms,
	       struct bodybuf *out)
{
	CURL *easy = curl_easy_init();
	struct curlhead head;
	CURLcode code;
	long status = 0;

	if (!easy)
		return PST_ERR_NOMEM;
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_INTERFACE, from);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, bodybuf_append);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
	curlhead_watch(&head, easy);
	code = curlhead_result(&head, curl_easy_perform(easy));
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return code == CURLE_OK && status == HTTP_OK ? 0 : PST_ERR_CONNECT;
}
