#include "entryd/xfer_head.h"

#include <stdlib.h>
#include <string.h>

#include "entryd/xfer.h"
#include "policy/orca.h"

#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_FINAL_MIN	   200
#define STATUS_MAX		   599
#define STATUS_UNAVAILABLE	   503

static void reset_head(struct xfer *x)
{
	curl_slist_free_all(x->answer_headers);
	x->answer_headers = NULL;
	x->stated_length = -1;
	x->shed = false;
	x->id_mismatch = false;
	x->digest_stated = false;
	x->req->load_reported = false;
}

static void start_digest(struct xfer *x, struct str value)
{
	if (hdr_digest(value, x->digest))
		return;
	if (!x->digest_ctx)
		x->digest_ctx = EVP_MD_CTX_new();
	x->digest_stated = x->digest_ctx &&
			   EVP_DigestInit_ex(x->digest_ctx, EVP_sha256(), NULL);
}

static void add_answer_header(struct xfer *x, struct str line)
{
	char *text = malloc(line.len + 1);
	struct curl_slist *grown;

	if (!text)
		return;
	memcpy(text, line.ptr, line.len);
	text[line.len] = '\0';
	grown = curl_slist_append(x->answer_headers, text);
	if (grown)
		x->answer_headers = grown;
	free(text);
}

/* The load report is for the broker and is not forwarded to the caller. */
static void read_report(struct xfer *x, struct str value)
{
	const struct str format = STR_LIT("JSON ");

	if (value.len < format.len ||
	    memcmp(value.ptr, format.ptr, format.len) != 0)
		return;
	value.ptr += format.len;
	value.len -= format.len;
	x->req->load_reported = !orca_parse(value, &x->req->load_report);
}

static void read_header(struct xfer *x, struct str line)
{
	const char *colon = memchr(line.ptr, ':', line.len);
	struct str name = {.ptr = line.ptr};
	struct str value;
	uint64_t number;

	if (!colon)
		return;
	name.len = (size_t)(colon - line.ptr);
	value.ptr = colon + 1;
	value.len = line.len - name.len - 1;
	while (value.len && *value.ptr == ' ') {
		value.ptr++;
		value.len--;
	}
	if (str_eq_nocase(name, STR_LIT("X-Request-Id"))) {
		x->id_mismatch = !str_eq(value, strbuf_str(&x->req->id));
		return;
	}
	if (str_eq_nocase(name, STR_LIT("Content-Length")) &&
	    !str_to_u64(value, &number) && number <= INT64_MAX)
		x->stated_length = (int64_t)number;
	if (str_eq_nocase(name, STR_LIT("X-Not-Run")))
		x->shed = str_eq(value, STR_LIT("1"));
	if (str_eq_nocase(name, STR_LIT("Content-Digest")))
		start_digest(x, value);
	if (str_eq_nocase(name, STR_LIT("endpoint-load-metrics"))) {
		read_report(x, value);
		return;
	}
	if (!hdr_hop_by_hop(name))
		add_answer_header(x, line);
}

size_t xfer_on_header(char *bytes, size_t size, size_t count, void *ctx)
{
	struct xfer *x = ctx;
	const size_t len = size * count;
	struct str line = {.ptr = bytes, .len = len};
	long status = 0;

	x->last_progress = clk_now(x->env->clk);
	x->answer_head_received += len;
	while (line.len && strchr("\r\n", line.ptr[line.len - 1]))
		line.len--;
	if (line.len > 5 && !memcmp(line.ptr, "HTTP/", 5)) {
		reset_head(x);
		return len;
	}
	if (line.len) {
		read_header(x, line);
		return len;
	}
	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	/* libcurl accepts up to 999, and reads a body behind 101. */
	if (status == STATUS_SWITCHING_PROTOCOLS || status > STATUS_MAX)
		return 0;
	if (status < STATUS_FINAL_MIN)
		return len;
	x->status = (unsigned)status;
	x->shed = x->shed && x->status == STATUS_UNAVAILABLE;
	x->head_complete = true;
	return len;
}
