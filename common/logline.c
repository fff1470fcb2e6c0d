#include "common/logline.h"

#include <ctype.h>
#include <string.h>

/* Length of a time stamp such as 2026-08-14T11:42:54.949242Z. */
#define STAMP_LEN 27

/* Removes the next word from rest and returns it; empty at the end. */
static struct str next_word(struct str *rest)
{
	struct str word;

	while (rest->len && isspace((unsigned char)*rest->ptr)) {
		rest->ptr++;
		rest->len--;
	}
	word.ptr = rest->ptr;
	word.len = 0;
	while (rest->len && !isspace((unsigned char)*rest->ptr)) {
		rest->ptr++;
		rest->len--;
		word.len++;
	}
	return word;
}

static bool is_stamp(struct str word)
{
	return word.len == STAMP_LEN && word.ptr[10] == 'T' &&
	       word.ptr[STAMP_LEN - 1] == 'Z' &&
	       isdigit((unsigned char)word.ptr[0]);
}

static bool value_of(struct str word, struct str key, struct str *out)
{
	if (word.len <= key.len || memcmp(word.ptr, key.ptr, key.len) != 0 ||
	    word.ptr[key.len] != '=')
		return false;
	out->ptr = word.ptr + key.len + 1;
	out->len = word.len - key.len - 1;
	return true;
}

bool logline_parse(struct str line, struct logline *out)
{
	struct str rest = line;
	struct str word = next_word(&rest);
	struct str number;
	uint64_t event;

	*out = (struct logline){.vm = STR_LIT("")};
	while (word.len && !is_stamp(word)) {
		out->vm = word;
		word = next_word(&rest);
	}
	if (!word.len)
		return false;
	out->stamp = word;
	out->text.ptr = word.ptr;
	out->text.len = (size_t)(line.ptr + line.len - word.ptr);
	/* Skips level and module. */
	(void)next_word(&rest);
	(void)next_word(&rest);
	if (!value_of(next_word(&rest), STR_LIT("event"), &number) ||
	    str_to_u64(number, &event) || event > UINT32_MAX)
		return false;
	out->event = (unsigned)event;
	out->name = next_word(&rest);
	return out->name.len > 0;
}

struct str logline_field(const struct logline *line, struct str key)
{
	struct str rest = line->text;
	struct str word;
	struct str value;

	while ((word = next_word(&rest)).len) {
		if (value_of(word, key, &value))
			return value;
	}
	return STR_LIT("");
}
