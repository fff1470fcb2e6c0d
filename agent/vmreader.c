#include "agent/vmreader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "agent/bodybuf.h"
#include "common/curlhead.h"
#include "common/err.h"
#include "common/wire.h"

/* Largest list accepted, in bytes. */
#define MAX_LIST ((size_t)32 * 1024 * 1024)

/* Longest ETag that is used, in bytes. */
#define ETAG_MAX	  128

#define HTTP_OK		  200
#define HTTP_NOT_MODIFIED 304
#define TEXT_MAX	  512

struct vmreader {
	const struct settings *set;
	/* The last list that came with an ETag, or NULL. */
	struct vmlist *cached;
	char etag[ETAG_MAX + 1];
};

int vmreader_create(struct vmreader **out, const struct settings *set)
{
	struct vmreader *vmreader = calloc(1, sizeof(*vmreader));

	if (!vmreader)
		return PST_ERR_NOMEM;
	vmreader->set = set;
	*out = vmreader;
	return 0;
}

static void drop_cached(struct vmreader *vmreader)
{
	vmlist_put(vmreader->cached);
	vmreader->cached = NULL;
	vmreader->etag[0] = '\0';
}

void vmreader_destroy(struct vmreader *vmreader)
{
	if (!vmreader)
		return;
	drop_cached(vmreader);
	free(vmreader);
}

static void set_options(CURL *easy, const struct settings *set,
			struct bodybuf *body)
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
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, bodybuf_append);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
}

static struct curl_slist *if_none_match(const struct vmreader *vmreader)
{
	char line[ETAG_MAX + sizeof("If-None-Match: ")];

	if (!vmreader->cached)
		return NULL;
	snprintf(line, sizeof(line), "If-None-Match: %s", vmreader->etag);
	return curl_slist_append(NULL, line);
}

static int fetch(const struct vmreader *vmreader, CURL *easy,
		 struct bodybuf *body, long *status)
{
	struct curl_slist *headers = if_none_match(vmreader);
	struct curlhead head;
	CURLcode code;

	set_options(easy, vmreader->set, body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curlhead_watch(&head, easy);
	code = curlhead_result(&head, curl_easy_perform(easy));
	curl_slist_free_all(headers);
	if (code != CURLE_OK)
		return PST_ERR_UNAVAILABLE;
	wire_count_http("list", easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	if (*status == HTTP_OK ||
	    (*status == HTTP_NOT_MODIFIED && vmreader->cached))
		return 0;
	return PST_ERR_UNAVAILABLE;
}

/* When memory is out, the next read is unconditional. */
static void cache_list(struct vmreader *vmreader, CURL *easy,
		       const struct vmlist *list)
{
	struct curl_header *etag;

	drop_cached(vmreader);
	if (curl_easy_header(easy, "ETag", 0, CURLH_HEADER, -1, &etag) ||
	    strlen(etag->value) > ETAG_MAX ||
	    vmlist_copy(&vmreader->cached, list))
		return;
	memcpy(vmreader->etag, etag->value, strlen(etag->value) + 1);
}

static int read_answer(struct vmreader *vmreader, CURL *easy, long status,
		       const struct bodybuf *body, struct vmlist **out)
{
	int err;

	if (status == HTTP_NOT_MODIFIED)
		return vmlist_copy(out, vmreader->cached);
	err = vmlist_parse(out,
			   (struct str){.ptr = body->ptr, .len = body->len});
	if (err)
		drop_cached(vmreader);
	else
		cache_list(vmreader, easy, *out);
	return err;
}

int vmreader_fetch(struct vmreader *vmreader, struct vmlist **out, long *status)
{
	CURL *easy = curl_easy_init();
	struct bodybuf body = {.max = MAX_LIST};
	int err;

	*status = 0;
	if (!easy)
		return PST_ERR_NOMEM;
	err = fetch(vmreader, easy, &body, status);
	if (!err)
		err = read_answer(vmreader, easy, *status, &body, out);
	free(body.ptr);
	curl_easy_cleanup(easy);
	return err;
}
