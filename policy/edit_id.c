/* Ids of edits, which sort the edits' records by age. */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "policy/edit.h"

/* Hexadecimal digits of an id that hold the second. */
#define SECOND_DIGITS 10

/* Longest RFC 3339 time, with its NUL. */
#define WHEN_SIZE 32

static bool parse_when(struct str when, uint64_t *out)
{
	char text[WHEN_SIZE];
	struct tm tm = {0};
	time_t at;

	if (when.len >= sizeof(text))
		return false;
	if (when.len)
		memcpy(text, when.ptr, when.len);
	text[when.len] = '\0';
	if (!strptime(text, "%Y-%m-%dT%H:%M:%SZ", &tm))
		return false;
	at = timegm(&tm);
	if (at < 0)
		return false;
	*out = (uint64_t)at;
	return true;
}

void edit_id_make(char out[EDIT_ID_SIZE], uint64_t now_s,
		  const uint64_t random_bits[2])
{
	snprintf(out, EDIT_ID_SIZE, "%0*llx%06llx%016llx", SECOND_DIGITS,
		 (unsigned long long)(now_s & 0xffffffffff),
		 (unsigned long long)(random_bits[0] & 0xffffff),
		 (unsigned long long)random_bits[1]);
}

bool edit_expired_end(char out[EDIT_KEY_MAX], uint64_t now_s,
		      struct str last_when)
{
	uint64_t last_s;

	if (!parse_when(last_when, &last_s))
		return false;
	if (last_s < now_s)
		now_s = last_s;
	if (now_s <= EDIT_KEEP_S)
		return false;
	snprintf(out, EDIT_KEY_MAX, EDIT_PREFIX "%0*llx", SECOND_DIGITS,
		 (unsigned long long)(now_s - EDIT_KEEP_S));
	return true;
}
