#include "entryd/hdr.h"

#include <ctype.h>
#include <string.h>

#include <openssl/evp.h>

#include "common/err.h"

#define PREFIX "/s/"

/* Urgency of RFC 9218: 0 (most urgent) to 7. */
#define URGENCY_URGENT_MAX 1
#define URGENCY_NORMAL_MAX 4

#define DEADLINE_MAX_MS	   86400000

/* Length of a SHA-256 digest in base64. */
#define DIGEST_BASE64_BYTES 44

static bool starts_with(struct str s, struct str prefix)
{
	return s.len >= prefix.len && !memcmp(s.ptr, prefix.ptr, prefix.len);
}

int hdr_path(struct str path, struct strbuf *service, struct str *rest)
{
	const struct str prefix = STR_LIT(PREFIX);
	const char *slash;
	struct str name;

	if (!starts_with(path, prefix))
		return PST_ERR_REQ_PATH;
	name.ptr = path.ptr + prefix.len;
	name.len = path.len - prefix.len;
	slash = memchr(name.ptr, '/', name.len);
	if (!slash)
		return PST_ERR_REQ_PATH;
	rest->ptr = slash;
	rest->len = name.len - (size_t)(slash - name.ptr);
	name.len = (size_t)(slash - name.ptr);
	if (!name.len || strbuf_set(service, name))
		return PST_ERR_REQ_PATH;
	return 0;
}

int hdr_priority(struct str value, enum rank *out)
{
	struct str member;

	*out = RANK_NORMAL;
	while (str_cut(&value, ',', &member)) {
		int urgency;

		if (!starts_with(member, STR_LIT("u=")))
			continue;
		if (member.len < 3 || member.ptr[2] < '0' ||
		    member.ptr[2] > '7' ||
		    (member.len > 3 && member.ptr[3] != ';'))
			return PST_ERR_REQ_HEADER;
		urgency = member.ptr[2] - '0';
		if (urgency <= URGENCY_URGENT_MAX)
			*out = RANK_URGENT;
		else
			*out = urgency <= URGENCY_NORMAL_MAX ? RANK_NORMAL
							     : RANK_BULK;
	}
	return 0;
}

int hdr_deadline(struct str value, uint32_t *ms)
{
	uint64_t number;

	if (str_to_u64(str_trim(value), &number) || !number ||
	    number > DEADLINE_MAX_MS)
		return PST_ERR_REQ_HEADER;
	*ms = (uint32_t)number;
	return 0;
}

int hdr_key(struct str value, size_t max, struct str *out)
{
	value = str_trim(value);
	if (value.len >= 2 && value.ptr[0] == '"' &&
	    value.ptr[value.len - 1] == '"') {
		value.ptr++;
		value.len -= 2;
	}
	if (!value.len || value.len > max)
		return PST_ERR_REQ_HEADER;
	for (size_t i = 0; i < value.len; i++) {
		const unsigned char c = (unsigned char)value.ptr[i];

		if (!isalnum(c) && !(c && strchr("-_.:~", c)))
			return PST_ERR_REQ_HEADER;
	}
	*out = value;
	return 0;
}

bool hdr_request_id_ok(struct str value)
{
	if (!value.len || value.len > STR_ID_MAX)
		return false;
	for (size_t i = 0; i < value.len; i++) {
		if (!isalnum((unsigned char)value.ptr[i]) &&
		    value.ptr[i] != '-')
			return false;
	}
	return true;
}

bool hdr_hop_by_hop(struct str name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Transfer-Encoding",
		"Content-Length",
		"TE",
		"Trailer",
		"Upgrade",
		"Expect",
		"Proxy-Connection",
		"Proxy-Authorization",
		"Host",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
		if (str_eq_nocase(name, str_from_c(names[i])))
			return true;
	}
	return false;
}

static int decode_digest(struct str text, unsigned char *out)
{
	/* EVP_DecodeBlock() writes a multiple of three bytes. */
	unsigned char bytes[HDR_DIGEST_BYTES + 1];

	if (text.len != DIGEST_BASE64_BYTES + 2 || text.ptr[0] != ':' ||
	    text.ptr[DIGEST_BASE64_BYTES + 1] != ':' ||
	    text.ptr[DIGEST_BASE64_BYTES] != '=')
		return PST_ERR_REQ_HEADER;
	if (EVP_DecodeBlock(bytes, (const unsigned char *)text.ptr + 1,
			    DIGEST_BASE64_BYTES) != HDR_DIGEST_BYTES + 1)
		return PST_ERR_REQ_HEADER;
	memcpy(out, bytes, HDR_DIGEST_BYTES);
	return 0;
}

int hdr_digest(struct str value, unsigned char out[HDR_DIGEST_BYTES])
{
	const struct str name = STR_LIT("sha-256=");
	struct str member;

	while (str_cut(&value, ',', &member)) {
		if (!starts_with(member, name))
			continue;
		member.ptr += name.len;
		member.len -= name.len;
		return decode_digest(member, out);
	}
	return PST_ERR_NOTFOUND;
}
