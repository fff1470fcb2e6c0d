#include "fakes/fault.h"

#include <string.h>

#include <jansson.h>

#include "common/err.h"

static int find_kind(const char *name, const char *const *names)
{
	for (int i = 0; names[i]; i++) {
		if (!strcmp(name, names[i]))
			return i;
	}
	return -1;
}

int faultinj_parse(struct str json, const char *const *names,
		   struct faultinj *out)
{
	json_t *root = json_loadb(json.ptr, json.len, 0, NULL);
	const char *kind = NULL;
	const char *match = "";
	const char *scope = "all";
	json_int_t count = -1;
	json_int_t ms = 0;
	int found;

	memset(out, 0, sizeof(*out));
	if (json_unpack(root, "{s:s,s?I,s?I,s?s,s?s}", "kind", &kind, "count",
			&count, "ms", &ms, "match", &match, "scope", &scope)) {
		json_decref(root);
		return PST_ERR_INVALID;
	}
	found = find_kind(kind, names);
	out->kind = found < 0 ? 0 : found;
	out->count = count < 0 ? UINT64_MAX : (uint64_t)count;
	out->ms = ms < 0 ? 0 : (uint64_t)ms;
	strbuf_set(&out->match, str_from_c(match));
	strbuf_set(&out->scope, str_from_c(scope));
	json_decref(root);
	return found < 0 ? PST_ERR_FAKE_FAULT : 0;
}

bool faultinj_take(struct faultinj *fault, int kind, struct str what)
{
	if (fault->kind != kind || !fault->count)
		return false;
	if (fault->match.len &&
	    (what.len < fault->match.len ||
	     memcmp(what.ptr, fault->match.ptr, fault->match.len) != 0))
		return false;
	if (fault->count != UINT64_MAX)
		fault->count--;
	return true;
}
