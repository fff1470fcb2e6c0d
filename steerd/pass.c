#include "steerd/pass.h"

#include "platform/plt_headers.h"

static int put_line(struct buf *out, struct str name, struct str value)
{
	int err = buf_add(out, name);

	if (!err)
		err = buf_add(out, STR_LIT(": "));
	if (!err)
		err = buf_add(out, value);
	return err ? err : buf_add(out, STR_LIT("\r\n"));
}

static int put_request_line(struct buf *out, const struct msg *request)
{
	int err = buf_add(out,
			  str_from_c(http_method_str(request->parser.method)));

	if (!err)
		err = buf_add(out, STR_LIT(" "));
	if (!err)
		err = buf_add(out, msg_target(request));
	return err ? err : buf_add(out, STR_LIT(" HTTP/1.1\r\n"));
}

/* Whether the request has a body, which may be empty. */
static bool has_body(const struct msg *request)
{
	return request->body.len || request->parser.method == HTTP_POST ||
	       request->parser.method == HTTP_PUT;
}

static bool is_forwarded(struct str name, struct str value, bool has_tenants)
{
	struct request_meta ignored = {0};

	switch (plt_request_header(name, value, &ignored)) {
	case PLT_HEADER_FORWARDED:
		return true;
	case PLT_HEADER_REPLACED:
		return false;
	case PLT_HEADER_IDENTITY:
		return !has_tenants;
	}
	return false;
}

int pass_request(struct buf *out, const struct msg *request,
		 const struct pass_fields *fields)
{
	int err;

	buf_reset(out);
	err = put_request_line(out, request);
	for (unsigned i = 0; i < request->field_count && !err; i++) {
		const struct str name = msg_name(request, i);
		const struct str value = msg_value(request, i);

		if (!msg_is_hop_by_hop(request, i) &&
		    is_forwarded(name, value, fields->has_tenants))
			err = put_line(out, name, value);
	}
	if (!err)
		err = plt_put_request_headers(out, fields->left,
					      fields->upstream, fields->tenant);
	if (!err && has_body(request))
		err = buf_addf(out, "Content-Length: %zu\r\n",
			       request->body.len);
	return err ? err : buf_add(out, STR_LIT("\r\n"));
}

int pass_answer(struct buf *out, const struct msg *answer)
{
	int err = 0;

	for (unsigned i = 0; i < answer->field_count && !err; i++) {
		if (!msg_is_hop_by_hop(answer, i))
			err = put_line(out, msg_name(answer, i),
				       msg_value(answer, i));
	}
	return err;
}
