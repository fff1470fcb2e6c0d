#include "entryd/xfer_setup.h"

#include <stdio.h>
#include <string.h>

#include "common/err.h"
#include "common/net.h"

/* Maximum size of libcurl's receive buffer. */
#define READ_BYTES 16384

/* Size of libcurl's upload buffer; the smallest that it accepts. */
#define SEND_BYTES 16384

/* Maximum time that an idle connection is kept. */
#define MAX_IDLE_S 30

/* TCP keep-alive of idle connections. */
#define PROBE_IDLE_S	 2
#define PROBE_INTERVAL_S 1

/* The CRLF at the end of a line of a head. */
#define LINE_END_BYTES 2

/*
 * Estimate for Accept, Content-Length and the request line without its method
 * and target.
 */
#define FIXED_HEAD_BYTES 96

/* Estimate for a CONNECT request without its two authorities. */
#define PROXY_HEAD_BYTES 64

/* Estimate for a proxy's answer, which libcurl does not pass to callbacks. */
#define PROXY_ANSWER_BYTES 64

/* Buffer for an address and port as text. */
#define AUTHORITY_BYTES 128

static bool add_header(struct xfer *x, const char *text)
{
	struct curl_slist *grown = curl_slist_append(x->headers, text);

	if (grown)
		x->headers = grown;
	x->request_head_bytes += strlen(text) + LINE_END_BYTES;
	return grown != NULL;
}

static int set_headers(struct xfer *x, const char *authority)
{
	const struct req *req = x->req;
	const apr_interval_time_t left = req->deadline - clk_now(x->env->clk);
	char text[256];
	bool ok = true;

	for (const struct curl_slist *h = req->headers; h; h = h->next)
		ok = ok && add_header(x, h->data);
	snprintf(text, sizeof(text), "Host: %s", authority);
	ok = ok && add_header(x, text);
	snprintf(text, sizeof(text), "X-Request-Id: %s", req->id.ptr);
	ok = ok && add_header(x, text);
	snprintf(text, sizeof(text), "X-Deadline-Ms: %lld",
		 (long long)(left > 1000 ? left / 1000 : 1));
	ok = ok && add_header(x, text);
	ok = ok && add_header(x, "Expect:");
	if (!ok)
		return PST_ERR_NOMEM;
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	return 0;
}

static void set_method(struct xfer *x)
{
	const struct req *req = x->req;

	if (req->head_only) {
		curl_easy_setopt(x->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (req->body_length) {
		curl_easy_setopt(x->easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(x->easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)req->body_length);
	} else if (strcmp(req->method, "GET") != 0) {
		curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE, 0L);
	}
	curl_easy_setopt(x->easy, CURLOPT_CUSTOMREQUEST, req->method);
}

/*
 * The host in the URL consists of the upstream and the generation. libcurl keys
 * its connection pool by it, so a new generation does not use old connections.
 */
static void set_endpoint(struct xfer *x, const char *authority,
			 unsigned generation)
{
	const struct settings *set = x->env->set;
	struct curl_slist *to;
	struct net_addr proxy;
	struct strbuf ip;
	char text[512];

	snprintf(text, sizeof(text), "http://%s.g%u.invalid",
		 x->target.upstream.ptr, generation);
	curl_easy_setopt(x->easy, CURLOPT_URL, text);
	curl_easy_setopt(x->easy, CURLOPT_REQUEST_TARGET, x->req->target);
	snprintf(text, sizeof(text), "::%s", authority);
	to = curl_slist_append(NULL, text);
	curl_easy_setopt(x->easy, CURLOPT_CONNECT_TO, to);
	x->connect_to = to;
	snprintf(text, sizeof(text), "host!%s", set->vm.address.ptr);
	curl_easy_setopt(x->easy, CURLOPT_INTERFACE, text);
	if (str_eq(strbuf_str(&x->target.upstream_region_name),
		   set->vm.region) ||
	    net_proxy_for(set, strbuf_str(&x->target.upstream_region_name),
			  &proxy))
		return;
	net_addr_ip(&proxy, &ip);
	snprintf(text, sizeof(text), "http://%s:%u", ip.ptr,
		 net_addr_port(&proxy));
	curl_easy_setopt(x->easy, CURLOPT_PROXY, text);
	x->proxied = true;
	curl_easy_setopt(x->easy, CURLOPT_HTTPPROXYTUNNEL, 1L);
	curl_easy_setopt(x->easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
}

/* Counts the bytes of the request's head and the proxy's, rounded up. */
static void count_request_head(struct xfer *x, const char *authority)
{
	x->request_head_bytes += FIXED_HEAD_BYTES + strlen(x->req->method) +
				 strlen(x->req->target);
	if (!x->proxied)
		return;
	x->request_head_bytes += PROXY_HEAD_BYTES + 2 * strlen(authority);
	x->answer_head_received = PROXY_ANSWER_BYTES;
}

static void set_limits(struct xfer *x)
{
	const struct set_entry *entry = &x->env->set->entry;
	const uint64_t half = entry->buffer_bytes / 2;

	curl_easy_setopt(x->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(x->easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(x->easy, CURLOPT_BUFFERSIZE,
			 (long)(half < READ_BYTES ? half : READ_BYTES));
	curl_easy_setopt(x->easy, CURLOPT_UPLOAD_BUFFERSIZE, (long)SEND_BYTES);
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)entry->connect_timeout_ms);
	curl_easy_setopt(x->easy, CURLOPT_MAXAGE_CONN, (long)MAX_IDLE_S);
	curl_easy_setopt(x->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(x->easy, CURLOPT_TCP_KEEPIDLE, (long)PROBE_IDLE_S);
	curl_easy_setopt(x->easy, CURLOPT_TCP_KEEPINTVL,
			 (long)PROBE_INTERVAL_S);
	if (!x->req->idempotent)
		curl_easy_setopt(x->easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Writes ADDRESS:PORT, with an IPv6 address in brackets. */
static void format_authority(const struct forwarder_target *target, char *out)
{
	const bool v6 = strchr(target->address.ptr, ':') != NULL;

	snprintf(out, AUTHORITY_BYTES, "%s%s%s:%u", v6 ? "[" : "",
		 target->address.ptr, v6 ? "]" : "", target->port);
}

int xfer_set_up(struct xfer *x, unsigned generation)
{
	char authority[AUTHORITY_BYTES];

	format_authority(&x->target, authority);
	if (set_headers(x, authority))
		return PST_ERR_NOMEM;
	set_endpoint(x, authority, generation);
	count_request_head(x, authority);
	set_method(x);
	set_limits(x);
	return 0;
}
