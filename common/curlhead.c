#include "common/curlhead.h"

#include <string.h>

/* Status codes below belong to interim answers. */
#define STATUS_FINAL_MIN 200

static bool is_blank(const char *line, size_t len)
{
	return (len == 2 && !memcmp(line, "\r\n", 2)) ||
	       (len == 1 && *line == '\n');
}

static size_t on_line(char *line, size_t size, size_t count, void *ctx)
{
	struct curlhead *head = ctx;
	const size_t len = size * count;
	long status = 0;

	if (len > 5 && !memcmp(line, "HTTP/", 5))
		head->complete = false;
	if (is_blank(line, len)) {
		curl_easy_getinfo(head->easy, CURLINFO_RESPONSE_CODE, &status);
		head->complete = status >= STATUS_FINAL_MIN;
	}
	return len;
}

void curlhead_watch(struct curlhead *head, CURL *easy)
{
	*head = (struct curlhead){.easy = easy};
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, head);
}

CURLcode curlhead_result(const struct curlhead *head, CURLcode code)
{
	return code == CURLE_OK && !head->complete ? CURLE_PARTIAL_FILE : code;
}
