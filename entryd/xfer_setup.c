#include "entryd/xfer_setup.h"

#include <stdio.h>
#include <string.h>

#include "common/err.h"
#include "common/net.h"

/* Bytes that libcurl reads at a time. */
#define READ_BYTES 16384

/* Bytes of a body that libcurl holds before it sends them; its least. */
#define SEND_BYTES 16384

/* How long an idle connection is kept, in seconds. */
#define MAX_IDLE_S 30

/* Keep-alive probes of connections on which nothing moves, in seconds. */
#define PROBE_IDLE_S	 2
#define PROBE_INTERVAL_S 1

/* End of a line of a head. */
#define LINE_END_BYTES 2

/* A request line but for its method and target, Accept and Content-Length. */
#define FIXED_HEAD_BYTES 96

/* A proxy's request but for the names, twice the place. */
#define PROXY_HEAD_BYTES 64

/* A proxy's answer, which libcurl does not hand on. */
#define PROXY_ANSWER_BYTES 64

/* An address and port as text. */
#define PLACE_BYTES 128

static bool add_header(struct xfer *x, const char *text)
{
	struct curl_slist *grown = curl_slist_append(x->headers, text);

	if (grown)
		x->headers = grown;
	x->head_bytes += strlen(text) + LINE_END_BYTES;
	return grown != NULL;
}

static int set_headers(struct xfer *x, const char *place)
{
	const struct req *req = x->req;
	const apr_interval_time_t left = req->deadline - clk_now(x->env->clk);
	char text[256];
	bool ok = true;

	for (const struct curl_slist *h = req->headers; h; h = h->next)
		ok = ok && add_header(x, h->data);
	snprintf(text, sizeof(text), "Host: %s", place);
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
 * The URL's host names the upstream and a generation; libcurl keeps its
 * connections by that name, so a new generation leaves the old ones unused.
 */
static void set_place(struct xfer *x, const char *place, unsigned generation)
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
	snprintf(text, sizeof(text), "::%s", place);
	to = curl_slist_append(NULL, text);
	curl_easy_setopt(x->easy, CURLOPT_CONNECT_TO, to);
	x->connect_to = to;
	snprintf(text, sizeof(text), "host!%s", set->vm.address.ptr);
	curl_easy_setopt(x->easy, CURLOPT_INTERFACE, text);
	if (str_eq(strbuf_str(&x->target.region), set->vm.region) ||
	    net_proxy_for(set, strbuf_str(&x->target.region), &proxy))
		return;
	net_addr_ip(&proxy, &ip);
	snprintf(text, sizeof(text), "http://%s:%u", ip.ptr,
		 net_addr_port(&proxy));
	curl_easy_setopt(x->easy, CURLOPT_PROXY, text);
	x->proxied = true;
	curl_easy_setopt(x->easy, CURLOPT_HTTPPROXYTUNNEL, 1L);
	curl_easy_setopt(x->easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
}

/* What the heads of request and proxy take of a link, rounded up. */
static void count_head(struct xfer *x, const char *place)
{
	x->head_bytes += FIXED_HEAD_BYTES + strlen(x->req->method) +
			 strlen(x->req->target);
	if (!x->proxied)
		return;
	x->head_bytes += PROXY_HEAD_BYTES + 2 * strlen(place);
	x->head_received = PROXY_ANSWER_BYTES;
}

static void set_bounds(struct xfer *x)
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

/* ADDRESS:PORT, with an IPv6 address in brackets. */
static void write_place(const struct ups_target *target, char *out)
{
	const bool v6 = strchr(target->address.ptr, ':') != NULL;

	snprintf(out, PLACE_BYTES, "%s%s%s:%u", v6 ? "[" : "",
		 target->address.ptr, v6 ? "]" : "", target->port);
}

int xfer_set_up(struct xfer *x, unsigned generation)
{
	char place[PLACE_BYTES];

	write_place(&x->target, place);
	if (set_headers(x, place))
		return PST_ERR_NOMEM;
	set_place(x, place, generation);
	count_head(x, place);
	set_method(x);
	set_bounds(x);
	return 0;
}
